#pragma once

#include "resources.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace robinrun {

/// \brief The configuration, folded from the records of the configuration stream in the order of offsets.
///
/// The rule is the same on every node and needs no clock: a change is accepted if it is valid and its base
/// version is the current version of the resource (0 for a resource that doesn't exist). The offset of the
/// accepted record + 1 becomes the new version. Of several writers that race on one version, exactly one is
/// therefore accepted, and every node agrees on which. The result of applying a change is called its fate.
/// Cost: O(log resources) per record; memory about 3 times the serialized size.
class ConfigState {
public:
    /// Fates kept to tell writers, by the id of their change, whether it was accepted.
    static constexpr std::size_t maxFates = 1024;

    virtual ~ConfigState() = default;

    /// \brief Applies the record at nextOffset(). A record that can't be parsed is refused. \returns its
    /// fate.
    const proto::Fate& apply(std::string_view record);

    /// \brief Replaces this state by a snapshot if the snapshot's offset is higher. \returns whether it was.
    bool restore(const proto::Snapshot& snapshot);

    proto::Snapshot snapshot() const;

    /// \returns the offset of the next record to apply: all records below it are in force on this node.
    std::uint64_t nextOffset() const { return m_nextOffset; }

    /// \returns all resources by name.
    const std::map<std::string, proto::Resource>& resources() const { return m_resources; }
    /// \returns the resource of this name, or null.
    const proto::Resource* find(const std::string& name) const;

    /// \returns the fate of the change with this id, if it is among the last `maxFates`.
    std::optional<proto::Fate> fateOf(const std::string& changeId) const;

    /// \returns the fates of the last records, oldest first.
    const std::deque<proto::Fate>& fates() const { return m_fates; }

    /// \returns a hash of the next offset and of all resource names and versions: equal states have equal
    /// digests.
    std::uint64_t digest() const;

protected:
    /// \brief Decides whether to accept a change. Virtual so that tests can replace it by a faulty version.
    /// \returns the reason to refuse it, or "" to accept it.
    virtual std::string refusalReason(const proto::ChangeRecord& change) const;

private:
    void recordFate(proto::Fate fate);
    /// \returns the current version of a resource; 0 if it doesn't exist.
    std::uint64_t versionOf(const std::string& name) const;

    std::uint64_t m_nextOffset = 0;
    std::map<std::string, proto::Resource> m_resources;
    std::deque<proto::Fate> m_fates;
    std::unordered_map<std::string, proto::Fate> m_fateByChangeId;
};

/// \returns the name of the resource that \a change puts or removes; "" for a snapshot.
const std::string& targetName(const proto::ChangeRecord& change);

} // namespace robinrun
