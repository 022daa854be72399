#include "Config/ConfigState.h"

#include "Config/Validator.h"
#include "Core/Hash.h"

namespace robinrun {

const std::string& targetOf(const proto::ChangeRecord& change)
{
    static const std::string none;
    if (change.has_put())
        return change.put().name();
    return change.change_case() == proto::ChangeRecord::kRemove ? change.remove() : none;
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

std::string ConfigState::refusalOf(const proto::ChangeRecord& change) const
{
    const auto& name = targetOf(change);
    const auto version = versionOf(name);
    if (change.base_version() != version)
        return "version is " + std::to_string(version) + ", not " + std::to_string(change.base_version());
    if (!change.has_put())
        return version ? "" : "no such resource";
    const auto errors = validate(change.put());
    return errors.empty() ? "" : errors.front().text();
}

const proto::Fate& ConfigState::apply(std::string_view record)
{
    const auto version = ++m_next;
    proto::ChangeRecord change;
    proto::Fate fate;
    if (!change.ParseFromArray(record.data(), static_cast<int>(record.size()))) {
        fate.set_reason("the record can't be read");
        remember(std::move(fate));
        return m_fates.back();
    }
    fate.set_id(change.id());
    if (change.has_snapshot()) {
        fate.set_accepted(true);
        fate.set_version(version);
        remember(std::move(fate));
        return m_fates.back();
    }
    const auto reason = refusalOf(change);
    fate.set_accepted(reason.empty());
    fate.set_reason(reason);
    fate.set_version(reason.empty() ? version : versionOf(targetOf(change)));
    if (reason.empty() && change.has_put()) {
        auto& resource = m_resources[change.put().name()];
        resource = change.put();
        resource.set_version(version);
    } else if (reason.empty()) {
        m_resources.erase(change.remove());
    }
    remember(std::move(fate));
    return m_fates.back();
}

void ConfigState::remember(proto::Fate fate)
{
    if (m_fates.size() == keptFates) {
        m_fateById.erase(m_fates.front().id());
        m_fates.pop_front();
    }
    // The first record of an id decides it: a record written twice is refused the second time by its version.
    m_fateById.emplace(fate.id(), fate);
    m_fates.push_back(std::move(fate));
}

std::optional<proto::Fate> ConfigState::fateOf(const std::string& id) const
{
    const auto it = m_fateById.find(id);
    if (it == m_fateById.end())
        return std::nullopt;
    return it->second;
}

proto::Snapshot ConfigState::snapshot() const
{
    proto::Snapshot out;
    out.set_next_offset(m_next);
    for (const auto& [name, resource] : m_resources)
        *out.add_resources() = resource;
    for (const auto& it : m_fates)
        *out.add_fates() = it;
    return out;
}

bool ConfigState::restore(const proto::Snapshot& snapshot)
{
    if (snapshot.next_offset() <= m_next)
        return false;
    m_next = snapshot.next_offset();
    m_resources.clear();
    for (const auto& it : snapshot.resources())
        m_resources[it.name()] = it;
    m_fates.clear();
    m_fateById.clear();
    for (const auto& it : snapshot.fates())
        remember(it);
    return true;
}

std::uint64_t ConfigState::digest() const
{
    std::uint64_t h = hash64("", m_next);
    for (const auto& [name, resource] : m_resources)
        h = hash64(name, hash64(std::to_string(resource.version()), h));
    return h;
}

} // namespace robinrun
