#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace robinrun {

/// \brief The table of names of an `enum class`: specialise with a static `names` array.
///
/// The enumerators must count up from 0 in the order of the table.
template <class E> struct EnumNames;

/// \returns the name of \a e; "?" for a value outside the table. O(1).
template <class E> constexpr std::string_view nameOf(E e)
{
    const auto index = static_cast<std::size_t>(e);
    return index < EnumNames<E>::names.size() ? EnumNames<E>::names[index] : std::string_view("?");
}

/// \returns the enumerator called \a name, if there is one. O(n).
template <class E> constexpr std::optional<E> parseEnum(std::string_view name)
{
    for (std::size_t i = 0; i < EnumNames<E>::names.size(); ++i) {
        if (EnumNames<E>::names[i] == name)
            return static_cast<E>(i);
    }
    return std::nullopt;
}

/// \returns how many enumerators \a E has.
template <class E> constexpr std::size_t countOf()
{
    return EnumNames<E>::names.size();
}

} // namespace robinrun
