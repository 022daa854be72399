#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief 128 bits of hash, or of a random name.
struct Hash128 {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const Hash128&) const = default;
};

/// \returns the 64-bit xxHash (XXH3) of \a data; guards against damage, not malice. About 0.1 ns a byte.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// \returns the 128-bit xxHash (XXH3) of \a data.
Hash128 hash128(std::string_view data);

/// \returns the SHA-256 of \a data in lower-case hex.
/// \throws std::runtime_error if the crypto library fails.
std::string sha256Hex(std::string_view data);

/// \returns the SHA-256 of \a parts one after another, in lower-case hex, without joining them.
/// \throws std::runtime_error if the crypto library fails.
std::string sha256Hex(std::span<const std::string_view> parts);

/// \returns whether the strings are equal, in a time that does not depend on where they differ.
bool equalInConstantTime(std::string_view a, std::string_view b);

/// \brief Hashes a Hash128 for unordered containers.
struct Hash128Hasher {
    std::size_t operator()(const Hash128& h) const { return h.high ^ (h.low * 0x9e3779b97f4a7c15ULL); }
};

} // namespace robinrun
