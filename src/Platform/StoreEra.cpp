#include "Platform/StoreEra.h"

#include "Core/Log.h"

#include <charconv>

namespace robinrun {
namespace {

    /// An answer that makes no sense costs a fresh read of each topic and a write of each record, of which a
    /// node has a handful: no more often than a store that is back has to be noticed.
    constexpr Duration betweenDoubts = 2s;
    constexpr std::size_t loggedBytes = 32;

    std::optional<std::uint64_t> parse(std::string_view text)
    {
        std::uint64_t n = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        const bool isWhole = !text.empty() && ec == std::errc() && end == text.data() + text.size();
        return isWhole ? std::optional(n) : std::nullopt;
    }

} // namespace

StoreEra::Verdict StoreEra::take(const std::optional<std::string>& text, std::uint64_t asked, Instant now)
{
    if (!text && !m_era)
        return Verdict::Same; // a store that knows no eras
    const auto named = text ? parse(*text) : std::nullopt;
    if (!named)
        return doubt(text ? "is no number" : "is missing", text, now);
    if (!m_era || *named > *m_era)
        return change(*named, now);
    if (asked != m_generation)
        return Verdict::Former;
    return *named == *m_era ? Verdict::Same : doubt("has fallen", text, now);
}

bool StoreEra::heard(std::uint64_t era, Instant now)
{
    return era > this->era() && change(era, now) == Verdict::Changed;
}

StoreEra::Verdict StoreEra::change(std::uint64_t era, Instant now)
{
    const bool isFirst = !m_era;
    log(isFirst ? LogLevel::Info : LogLevel::Warning, "store-era",
        { { "era", era }, { "before", this->era() }, { "first", isFirst } });
    m_era = era;
    m_since = now;
    if (isFirst)
        return Verdict::Same;
    ++m_generation;
    return Verdict::Changed;
}

StoreEra::Verdict StoreEra::doubt(std::string_view fault, const std::optional<std::string>& text, Instant now)
{
    ++m_faults;
    if (m_doubted && now - *m_doubted < betweenDoubts)
        return Verdict::Same;
    m_doubted = now;
    log(LogLevel::Warning, "store-era-unreadable",
        { { "fault", fault }, { "value", text.value_or("").substr(0, loggedBytes) }, { "era", era() } });
    ++m_generation;
    return Verdict::Changed;
}

} // namespace robinrun
