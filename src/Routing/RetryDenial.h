#pragma once

#include "Core/EnumNames.h"

#include <array>
#include <string_view>

namespace robinrun {

/// \brief Why a call gets no further attempt that counts as a retry.
enum class RetryDenial {
    AttemptsUsed, ///< it has had as many as its request allows
    OwnBudgetEmpty, ///< its service's budget holds no whole retry
    HigherPriority, ///< others need the budget more, of its service or of one that its run would call
    NestedBudgetEmpty, ///< the budget of a service that its run would call is used up
};

template <> struct EnumNames<RetryDenial> {
    static constexpr std::array<std::string_view, 4> names { "attempts-used", "own-budget", "higher-claim",
        "nested-debt" };
};

} // namespace robinrun
