#pragma once

#include "Core/Hash.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace robinrun::support {

/// \returns \a n digits that have little in common with those of another \a seed, and compress to half at
/// best.
inline std::string noise(std::size_t n, std::uint64_t seed)
{
    std::string out;
    for (std::uint64_t i = 0; out.size() < n; ++i)
        out += std::to_string(hash64(std::to_string(i), seed));
    out.resize(n);
    return out;
}

} // namespace robinrun::support
