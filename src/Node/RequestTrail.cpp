#include "Node/RequestTrail.h"

#include "Core/Hash.h"
#include "Core/Log.h"

#include <chrono>

namespace robinrun {

void RequestTrail::write(
    const std::string& id, const std::string& node, std::uint64_t sampleOneIn, Instant now)
{
    const auto entries = std::exchange(m_entries, {});
    if (id.empty() || !logs(LogLevel::Info))
        return;
    if (!m_isNotable && hash64(id) % sampleOneIn != 0)
        return;
    const auto wall = std::chrono::system_clock::now();
    for (const auto& it : entries) {
        std::vector<LogField> fields { { "request", id } };
        if (!node.empty())
            fields.emplace_back("from", node);
        if (it.attempt)
            fields.emplace_back("attempt", it.attempt);
        if (!it.upstream.empty())
            fields.emplace_back("upstream", it.upstream);
        if (!it.text.empty())
            fields.emplace_back("target", it.text);
        if (it.reason != Reason::None)
            fields.emplace_back("reason", nameOf(it.reason));
        if (it.retryDenied)
            fields.emplace_back("retry_denied", nameOf(*it.retryDenied));
        for (const auto& [name, value] : it.numbers)
            fields.emplace_back(name, value);
        logAt(wall - (now - it.at), LogLevel::Info, nameOf(it.event), fields);
    }
}

} // namespace robinrun
