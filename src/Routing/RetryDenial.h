#pragma once

#include "Core/EnumNames.h"

#include <array>
#include <string_view>

namespace robinrun {

/// \brief Why the retry of a call is denied.
enum class RetryDenial {
    AttemptsUsed, ///< the call has used all attempts that its request allows
    OwnBudgetEmpty, ///< the retry budget of the call's service holds less than one token
    /// The budget of the service, or of one that its run would call, is reserved for retries of a higher
    /// priority.
    HigherPriority,
    NestedBudgetEmpty, ///< the budget of a service that its run would call is empty or in debt
};

template <> struct EnumNames<RetryDenial> {
    static constexpr std::array<std::string_view, 4> names { "attempts-used", "own-budget", "higher-claim",
        "nested-debt" };
};

} // namespace robinrun
