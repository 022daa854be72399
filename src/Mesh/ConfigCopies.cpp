#include "Mesh/ConfigCopies.h"

#include "Core/Hash.h"
#include "Wire/DeltaCodec.h"

#include <algorithm>
#include <utility>

namespace robinrun {

void ConfigCopies::keepFormer(ConfigText former)
{
    m_formerBytes += former.text.size();
    m_former.push_back(std::move(former));
    while (m_former.size() > 1 && m_formerBytes > m_options.formerBytes) {
        m_formerBytes -= m_former.front().text.size();
        m_former.pop_front();
    }
}

std::optional<proto::ConfigPart> ConfigCopies::answer(
    const proto::ConfigPartRequest& request, std::uint64_t version, std::string_view text)
{
    if (request.own_version() >= version)
        return std::nullopt;
    // A copy that was begun is finished although a newer version is in force: in a series of changes a peer
    // that had to begin anew at each would never have one.
    const auto* started = findStarted(request);
    const auto& copy = started ? *started : copyFor(request, version, text);
    // Also if another peer sent what the asker has: equal texts give equal copies.
    const bool goesOn = copy.digest == request.copy_digest() && request.offset() < copy.bytes.size();
    const auto offset = goesOn ? static_cast<std::size_t>(request.offset()) : 0;
    proto::ConfigPart out;
    out.set_version(copy.version);
    out.set_base_version(copy.baseVersion);
    out.set_copy_digest(copy.digest);
    out.set_copy_bytes(copy.bytes.size());
    out.set_offset(offset);
    out.set_data(copy.bytes.substr(offset, m_options.partBytes));
    return out;
}

template <class F> const ConfigCopies::Copy* ConfigCopies::use(F isWanted)
{
    const auto it = std::find_if(m_copies.begin(), m_copies.end(), isWanted);
    if (it == m_copies.end())
        return nullptr;
    std::rotate(it, it + 1, m_copies.end());
    return &m_copies.back();
}

const ConfigCopies::Copy* ConfigCopies::findStarted(const proto::ConfigPartRequest& request)
{
    if (request.offset() == 0)
        return nullptr;
    return use([&](const auto& copy) {
        return copy.digest == request.copy_digest() && copy.version > request.own_version()
            && copy.bytes.size() > request.offset();
    });
}

const ConfigText* ConfigCopies::findFormer(std::uint64_t version, std::uint64_t digest) const
{
    const auto it = std::find_if(m_former.begin(), m_former.end(),
        [&](const auto& former) { return former.version == version && hash64(former.text) == digest; });
    return it == m_former.end() ? nullptr : &*it;
}

const ConfigCopies::Copy& ConfigCopies::copyFor(
    const proto::ConfigPartRequest& request, std::uint64_t version, std::string_view text)
{
    const auto* base = findFormer(request.own_version(), request.own_digest());
    const auto baseVersion = base ? base->version : 0;
    const auto* known
        = use([&](const auto& copy) { return copy.version == version && copy.baseVersion == baseVersion; });
    if (known)
        return *known;
    auto bytes = encodeDelta(text, base ? std::string_view(base->text) : std::string_view());
    const auto digest = hash64(bytes);
    m_copyBytes += bytes.size();
    m_copies.push_back({ version, baseVersion, digest, std::move(bytes) });
    while (m_copies.size() > 1 && m_copyBytes > m_options.copyBytes) {
        m_copyBytes -= m_copies.front().bytes.size();
        m_copies.pop_front();
    }
    return m_copies.back();
}

} // namespace robinrun
