#include "Config/ConfigState.h"

#include "Config/Validator.h"
#include "Core/Hash.h"

namespace robinrun {

const std::string& targetName(const proto::ChangeRecord& change)
{
    static const std::string noName;
    if (change.has_put())
        return change.put().name();
    return change.change_case() == proto::ChangeRecord::kRemove ? change.remove() : noName;
}

const proto::Resource* ConfigState::find(const std::string& name) const
{
    const auto it = m_resources.find(name);
    return it == m_resources.end() ? nullptr : &it->second;
}

std::uint64_t ConfigState::versionOf(const std::string& name) const
{
    const auto* resource = find(name);
    return resource ? resource->version() : 0;
}

std::string ConfigState::refusalReason(const proto::ChangeRecord& change) const
{
    const auto& name = targetName(change);
    const auto version = versionOf(name);
    if (change.base_version() != version)
        return "version is " + std::to_string(version) + ", not " + std::to_string(change.base_version());
    if (!change.has_put())
        return version ? "" : "no such resource";
    const auto errors = validate(change.put());
    return errors.empty() ? "" : errors.front().toString();
}

const proto::Fate& ConfigState::apply(std::string_view record)
{
    const auto version = ++m_nextOffset;
    proto::ChangeRecord change;
    proto::Fate fate;
    if (!change.ParseFromArray(record.data(), static_cast<int>(record.size()))) {
        fate.set_reason("the record is not a valid ChangeRecord message");
        recordFate(std::move(fate));
        return m_fates.back();
    }
    fate.set_id(change.id());
    if (change.has_snapshot()) {
        fate.set_accepted(true);
        fate.set_version(version);
        recordFate(std::move(fate));
        return m_fates.back();
    }
    const auto reason = refusalReason(change);
    fate.set_accepted(reason.empty());
    fate.set_reason(reason);
    fate.set_version(reason.empty() ? version : versionOf(targetName(change)));
    if (reason.empty() && change.has_put()) {
        auto& resource = m_resources[change.put().name()];
        resource = change.put();
        resource.set_version(version);
    } else if (reason.empty()) {
        m_resources.erase(change.remove());
    }
    recordFate(std::move(fate));
    return m_fates.back();
}

void ConfigState::recordFate(proto::Fate fate)
{
    if (m_fates.size() == maxFates) {
        m_fateByChangeId.erase(m_fates.front().id());
        m_fates.pop_front();
    }
    // The first record with an id determines its fate: a duplicate of the record is refused for its version.
    m_fateByChangeId.emplace(fate.id(), fate);
    m_fates.push_back(std::move(fate));
}

std::optional<proto::Fate> ConfigState::fateOf(const std::string& changeId) const
{
    const auto it = m_fateByChangeId.find(changeId);
    if (it == m_fateByChangeId.end())
        return std::nullopt;
    return it->second;
}

proto::Snapshot ConfigState::snapshot() const
{
    proto::Snapshot out;
    out.set_next_offset(m_nextOffset);
    for (const auto& [name, resource] : m_resources)
        *out.add_resources() = resource;
    for (const auto& it : m_fates)
        *out.add_fates() = it;
    return out;
}

bool ConfigState::restore(const proto::Snapshot& snapshot)
{
    if (snapshot.next_offset() <= m_nextOffset)
        return false;
    m_nextOffset = snapshot.next_offset();
    m_resources.clear();
    for (const auto& it : snapshot.resources())
        m_resources[it.name()] = it;
    m_fates.clear();
    m_fateByChangeId.clear();
    for (const auto& it : snapshot.fates())
        recordFate(it);
    return true;
}

std::uint64_t ConfigState::digest() const
{
    std::uint64_t h = hash64("", m_nextOffset);
    for (const auto& [name, resource] : m_resources)
        h = hash64(name, hash64(std::to_string(resource.version()), h));
    return h;
}

} // namespace robinrun
