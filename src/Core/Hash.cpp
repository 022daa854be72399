#include "Core/Hash.h"

#include <array>
#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <stdexcept>
#include <xxhash.h>

namespace robinrun {

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

Hash128 hash128(std::string_view data)
{
    const auto h = XXH3_128bits(data.data(), data.size());
    return { h.high64, h.low64 };
}

std::string sha256Hex(std::string_view data)
{
    return sha256Hex(std::span(&data, 1));
}

std::string sha256Hex(std::span<const std::string_view> parts)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned n = 0;
    bool isDone = context && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
    for (const auto it : parts)
        isDone = isDone && EVP_DigestUpdate(context.get(), it.data(), it.size()) == 1;
    if (!isDone || EVP_DigestFinal_ex(context.get(), digest.data(), &n) != 1)
        throw std::runtime_error("sha256 failed");
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(std::size_t { 2 } * n);
    for (unsigned i = 0; i < n; ++i) {
        hex += digits[digest[i] >> 4U];
        hex += digits[digest[i] & 15U];
    }
    return hex;
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace robinrun
