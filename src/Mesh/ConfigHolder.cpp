#include "Mesh/ConfigHolder.h"

#include "Core/Log.h"

#include <algorithm>
#include <cstdint>

namespace robinrun {

ConfigHolder::AdoptionResult ConfigHolder::tryAdopt(
    std::string_view text, std::string_view source, const MeshFormats& formats)
{
    // Several peers may send the text that is in force. Parsing it takes milliseconds of CPU time, comparing
    // it microseconds.
    if (m_current && text == m_text)
        return AdoptionResult::NotNewer;
    auto parsed = formats.readConfiguration(text);
    if (!parsed) {
        log(LogLevel::Error, "configuration-refused",
            { { "source", source }, { "error", parsed.error() }, { "in_force", version() } });
        return AdoptionResult::Unreadable;
    }
    if (m_current && parsed.value().version <= m_current->version)
        return AdoptionResult::NotNewer;
    log(LogLevel::Info, "configuration-adopted",
        { { "version", parsed.value().version }, { "before", version() }, { "source", source },
            { "resources", std::uint64_t { parsed.value().resources.size() } } });
    for (const auto& it : parsed.value().errors) {
        log(LogLevel::Error, "configuration-entry-refused",
            { { "version", parsed.value().version }, { "place", it.location }, { "error", it.message } });
    }
    m_current = std::move(parsed.value());
    m_text = text;
    return AdoptionResult::Adopted;
}

bool ConfigHolder::adoptIfNewer(std::string_view text, std::string_view source, const MeshFormats& formats)
{
    return tryAdopt(text, source, formats) == AdoptionResult::Adopted;
}

bool ConfigHolder::adoptNewest(
    const std::vector<KeyedRecord>& records, std::string_view source, const MeshFormats& formats)
{
    struct Candidate {
        std::uint64_t version;
        const std::string* text;
    };
    std::vector<Candidate> candidates;
    for (const auto& it : records) {
        if (it.key == formats.configurationKey)
            candidates.push_back({ formats.readVersion(it.value).value_or(UINT64_MAX), &it.value });
    }
    // After an outage all versions written meanwhile arrive at once. Parsing each takes 6 to 12 ms of a full
    // core, and a node may have a tenth of a core, so only the newest version is parsed. It is not always the
    // last record, because a write of unknown outcome can take effect late.
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const auto& a, const auto& b) { return a.version > b.version; });
    for (const auto& it : candidates) {
        if (it.version <= version())
            return false;
        const auto result = tryAdopt(*it.text, source, formats);
        if (result != AdoptionResult::Unreadable)
            return result == AdoptionResult::Adopted;
    }
    return false;
}

} // namespace robinrun
