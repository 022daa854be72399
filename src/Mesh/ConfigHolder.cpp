#include "Mesh/ConfigHolder.h"

#include "Core/Log.h"

#include <algorithm>
#include <cstdint>

namespace robinrun {

ConfigHolder::Verdict ConfigHolder::take(
    std::string_view text, std::string_view source, const MeshFormats& formats)
{
    // Several peers may send the text that is in force; to read it takes milliseconds of a core, to compare
    // it microseconds.
    if (m_current && text == m_text)
        return Verdict::NotNewer;
    auto read = formats.readConfiguration(text);
    if (!read) {
        log(LogLevel::Error, "configuration-refused",
            { { "source", source }, { "error", read.error() }, { "in_force", version() } });
        return Verdict::Unreadable;
    }
    if (m_current && read.value().version <= m_current->version)
        return Verdict::NotNewer;
    log(LogLevel::Info, "configuration-adopted",
        { { "version", read.value().version }, { "before", version() }, { "source", source },
            { "resources", std::uint64_t { read.value().resources.size() } } });
    for (const auto& it : read.value().faults) {
        log(LogLevel::Error, "configuration-entry-refused",
            { { "version", read.value().version }, { "place", it.place }, { "error", it.message } });
    }
    m_current = std::move(read.value());
    m_text = text;
    return Verdict::Adopted;
}

bool ConfigHolder::offer(std::string_view text, std::string_view source, const MeshFormats& formats)
{
    return take(text, source, formats) == Verdict::Adopted;
}

bool ConfigHolder::offerNewest(
    const std::vector<KeyedRecord>& records, std::string_view source, const MeshFormats& formats)
{
    struct Candidate {
        std::uint64_t version;
        const std::string* text;
    };
    std::vector<Candidate> candidates;
    for (const auto& it : records) {
        if (it.key == formats.configurationKey)
            candidates.push_back({ formats.versionOf(it.value).value_or(UINT64_MAX), &it.value });
    }
    // After an outage all versions of that time come at once. Each takes 6 to 12 ms of a whole core to read,
    // of which a node may have a tenth: only the newest is worth that. It is not always the last: a write of
    // unknown outcome may be done late.
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const auto& a, const auto& b) { return a.version > b.version; });
    for (const auto& it : candidates) {
        if (it.version <= version())
            return false;
        const auto verdict = take(*it.text, source, formats);
        if (verdict != Verdict::Unreadable)
            return verdict == Verdict::Adopted;
    }
    return false;
}

} // namespace robinrun
