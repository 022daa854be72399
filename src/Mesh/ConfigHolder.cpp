#include "Mesh/ConfigHolder.h"

#include "Core/Log.h"

namespace robinrun {

bool ConfigHolder::offer(std::string_view text, std::string_view source, const MeshFormats& formats)
{
    auto read = formats.readConfiguration(text);
    if (!read) {
        log(LogLevel::Error, "configuration-refused",
            { { "source", source }, { "error", read.error() }, { "in_force", version() } });
        return false;
    }
    if (m_current && read.value().version <= m_current->version)
        return false;
    log(LogLevel::Info, "configuration-adopted",
        { { "version", read.value().version }, { "before", version() }, { "source", source },
            { "resources", std::uint64_t { read.value().resources.size() } } });
    m_current = std::move(read.value());
    m_text = text;
    return true;
}

} // namespace robinrun
