#include "Wire/DeltaCodec.h"

#include "Core/Check.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace robinrun {
namespace {

    /// The fastest of the library's levels: the others took up to twice the time for texts of the same size
    /// or larger ones, on configurations of 2,800 routes.
    constexpr int level = 1;
    /// The largest window that decoders take without being told, as a power of two.
    constexpr int maxWindow = 27;
    constexpr int minWindow = 10;
    /// Bytes of the window for each place of the table, and the fewest places; as powers of two.
    constexpr int bytesPerPlace = 3;
    constexpr int leastPlaces = 14;

    struct FreeContext {
        void operator()(ZSTD_CCtx* it) const { ZSTD_freeCCtx(it); }
        void operator()(ZSTD_DCtx* it) const { ZSTD_freeDCtx(it); }
    };

    /// \returns a window, as a power of two, that reaches over \a n bytes.
    int windowFor(std::size_t n)
    {
        return std::clamp(static_cast<int>(std::bit_width(n)), minWindow, maxWindow);
    }

} // namespace

std::string encodeDelta(std::string_view text, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    // What is far back in the base must stay in reach, and the table of places must hold a part of all: the
    // level's own one keeps too few of texts of 4 MB and more.
    const int window = windowFor(text.size() + base.size());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_hashLog, std::max(window - bytesPerPlace, leastPlaces));
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string out(ZSTD_compressBound(text.size()), '\0');
    const auto n = ZSTD_compress2(context.get(), out.data(), out.size(), text.data(), text.size());
    require(!ZSTD_isError(n), "encodeDelta: the library compresses into a buffer of its own bound");
    out.resize(n);
    return out;
}

Result<std::string, DeltaError> decodeDelta(
    std::string_view encoded, std::string_view base, std::size_t maxBytes)
{
    const auto size = ZSTD_getFrameContentSize(encoded.data(), encoded.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR)
        return failure(DeltaError { "this is no compressed text" });
    if (size > maxBytes)
        return failure(DeltaError { "the text has " + std::to_string(size) + " bytes" });
    const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string out(size, '\0');
    const auto n = ZSTD_decompressDCtx(context.get(), out.data(), out.size(), encoded.data(), encoded.size());
    if (ZSTD_isError(n))
        return failure(DeltaError { ZSTD_getErrorName(n) });
    if (n != size)
        return failure(DeltaError { "the text is cut short" });
    return out;
}

} // namespace robinrun
