#include "Mesh/ConfigPartAssembler.h"

#include "Core/Hash.h"

#include <string_view>

namespace robinrun {

proto::ConfigPartRequest ConfigPartAssembler::makeRequest(
    std::uint64_t ownVersion, const std::string& ownText) const
{
    proto::ConfigPartRequest out;
    if (ownVersion && m_acceptsDeltas) {
        out.set_own_version(ownVersion);
        out.set_own_digest(hash64(ownText));
    }
    out.set_copy_digest(m_digest);
    out.set_offset(m_received.size());
    return out;
}

ConfigPartAssembler::PartResult ConfigPartAssembler::addPart(
    const proto::ConfigPart& part, std::uint64_t ownVersion)
{
    const bool hasBase = part.base_version() == 0 || part.base_version() == ownVersion;
    if (part.version() <= ownVersion || !hasBase || part.copy_bytes() > maxTextBytes || part.data().empty())
        return PartResult::Ignored;
    const bool isOtherCopy = part.copy_digest() != m_digest;
    if (isOtherCopy && part.offset() == 0) {
        reset();
        m_baseVersion = part.base_version();
        m_digest = part.copy_digest();
        m_copyBytes = part.copy_bytes();
    } else if (isOtherCopy || part.offset() != m_received.size()) {
        return PartResult::Ignored;
    }
    m_received += part.data();
    return m_received.size() < m_copyBytes ? PartResult::Incomplete : PartResult::Complete;
}

Result<std::string, DeltaError> ConfigPartAssembler::decodeCopy(const std::string& ownText)
{
    auto out = decodeDelta(
        m_received, m_baseVersion ? std::string_view(ownText) : std::string_view(), maxTextBytes);
    reset();
    m_acceptsDeltas = m_acceptsDeltas && out.has_value();
    return out;
}

void ConfigPartAssembler::onAdopted()
{
    reset();
    m_acceptsDeltas = true;
}

void ConfigPartAssembler::reset()
{
    m_baseVersion = 0;
    m_digest = 0;
    m_copyBytes = 0;
    m_received.clear();
}

} // namespace robinrun
