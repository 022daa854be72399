#include "Mesh/ConfigPartServer.h"

#include "Core/Hash.h"
#include "Wire/DeltaCodec.h"

#include <algorithm>
#include <utility>

namespace robinrun {

void ConfigPartServer::addFormerText(ConfigVersionText former)
{
    m_formerTextBytes += former.text.size();
    m_formerTexts.push_back(std::move(former));
    while (m_formerTexts.size() > 1 && m_formerTextBytes > m_options.maxFormerTextBytes) {
        m_formerTextBytes -= m_formerTexts.front().text.size();
        m_formerTexts.pop_front();
    }
}

std::optional<proto::ConfigPart> ConfigPartServer::answer(
    const proto::ConfigPartRequest& request, std::uint64_t version, std::string_view text)
{
    if (request.own_version() >= version)
        return std::nullopt;
    // A transfer that has started is completed even if a newer version is in force by now. Otherwise a peer
    // that restarts its transfer at each of many frequent changes would never complete one.
    const auto* started = findStartedCopy(request);
    const auto& copy = started ? *started : findOrEncodeCopy(request, version, text);
    // This also holds if another peer sent the first parts, because equal texts give equal copies.
    const bool isContinued = copy.digest == request.copy_digest() && request.offset() < copy.bytes.size();
    const auto offset = isContinued ? static_cast<std::size_t>(request.offset()) : 0;
    proto::ConfigPart out;
    out.set_version(copy.version);
    out.set_base_version(copy.baseVersion);
    out.set_copy_digest(copy.digest);
    out.set_copy_bytes(copy.bytes.size());
    out.set_offset(offset);
    out.set_data(copy.bytes.substr(offset, m_options.maxPartBytes));
    return out;
}

template <class Predicate> const ConfigPartServer::Copy* ConfigPartServer::useCopy(Predicate matches)
{
    const auto it = std::find_if(m_cachedCopies.begin(), m_cachedCopies.end(), matches);
    if (it == m_cachedCopies.end())
        return nullptr;
    std::rotate(it, it + 1, m_cachedCopies.end());
    return &m_cachedCopies.back();
}

const ConfigPartServer::Copy* ConfigPartServer::findStartedCopy(const proto::ConfigPartRequest& request)
{
    if (request.offset() == 0)
        return nullptr;
    return useCopy([&](const auto& copy) {
        return copy.digest == request.copy_digest() && copy.version > request.own_version()
            && copy.bytes.size() > request.offset();
    });
}

const ConfigVersionText* ConfigPartServer::findFormerText(std::uint64_t version, std::uint64_t digest) const
{
    const auto it = std::find_if(m_formerTexts.begin(), m_formerTexts.end(),
        [&](const auto& former) { return former.version == version && hash64(former.text) == digest; });
    return it == m_formerTexts.end() ? nullptr : &*it;
}

const ConfigPartServer::Copy& ConfigPartServer::findOrEncodeCopy(
    const proto::ConfigPartRequest& request, std::uint64_t version, std::string_view text)
{
    const auto* base = findFormerText(request.own_version(), request.own_digest());
    const auto baseVersion = base ? base->version : 0;
    const auto* cached = useCopy(
        [&](const auto& copy) { return copy.version == version && copy.baseVersion == baseVersion; });
    if (cached)
        return *cached;
    auto bytes = encodeDelta(text, base ? std::string_view(base->text) : std::string_view());
    const auto digest = hash64(bytes);
    m_cachedCopyBytes += bytes.size();
    m_cachedCopies.push_back({ version, baseVersion, digest, std::move(bytes) });
    while (m_cachedCopies.size() > 1 && m_cachedCopyBytes > m_options.maxCachedCopyBytes) {
        m_cachedCopyBytes -= m_cachedCopies.front().bytes.size();
        m_cachedCopies.pop_front();
    }
    return m_cachedCopies.back();
}

} // namespace robinrun
