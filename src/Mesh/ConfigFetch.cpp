#include "Mesh/ConfigFetch.h"

#include "Core/Hash.h"

#include <string_view>

namespace robinrun {

proto::ConfigPartRequest ConfigFetch::request(std::uint64_t ownVersion, const std::string& ownText) const
{
    proto::ConfigPartRequest out;
    if (ownVersion && m_takesDifferences) {
        out.set_own_version(ownVersion);
        out.set_own_digest(hash64(ownText));
    }
    out.set_copy_digest(m_digest);
    out.set_offset(m_bytes.size());
    return out;
}

ConfigFetch::Progress ConfigFetch::take(const proto::ConfigPart& part, std::uint64_t ownVersion)
{
    const bool isReadable = part.base_version() == 0 || part.base_version() == ownVersion;
    if (part.version() <= ownVersion || !isReadable || part.copy_bytes() > maxBytes || part.data().empty())
        return Progress::None;
    const bool isOther = part.copy_digest() != m_digest;
    if (isOther && part.offset() == 0) {
        reset();
        m_baseVersion = part.base_version();
        m_digest = part.copy_digest();
        m_size = part.copy_bytes();
    } else if (isOther || part.offset() != m_bytes.size()) {
        return Progress::None;
    }
    m_bytes += part.data();
    return m_bytes.size() < m_size ? Progress::More : Progress::Whole;
}

Result<std::string, DeltaError> ConfigFetch::text(const std::string& ownText)
{
    auto out = decodeDelta(m_bytes, m_baseVersion ? std::string_view(ownText) : std::string_view(), maxBytes);
    reset();
    m_takesDifferences = m_takesDifferences && out.has_value();
    return out;
}

void ConfigFetch::adopted()
{
    reset();
    m_takesDifferences = true;
}

void ConfigFetch::reset()
{
    m_baseVersion = 0;
    m_digest = 0;
    m_size = 0;
    m_bytes.clear();
}

} // namespace robinrun
