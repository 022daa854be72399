#pragma once

#include "Core/EnumNames.h"

#include <array>
#include <string_view>

namespace robinrun {

/// \brief Why a call of a group with a rate did not get a credit.
enum class RateRefusal {
    Short, ///< All lenders lent too little: the group has reached its rate, or others hold its credits.
    Silent, ///< Some lender does not answer, and no other one lent enough.
    Late, ///< A lender was asked and has not answered in time.
};

template <> struct EnumNames<RateRefusal> {
    static constexpr std::array<std::string_view, 3> names { "short", "silent", "late" };
};

} // namespace robinrun
