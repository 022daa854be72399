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
/// The rule is the same everywhere and needs no clock: a change is accepted if its base version is the
/// resource's present version (0 for one that doesn't exist) and it is valid; its offset + 1 becomes the new
/// version. Of racing writers exactly one wins, on every node. The applied offset only rises. Cost: apply
/// O(log resources); memory about the serialized size x 3.
class ConfigState {
public:
    /// Fates kept to answer writers by the id of their change.
    static constexpr std::size_t maxFates = 1024;

    virtual ~ConfigState() = default;

    /// \brief Applies the record at nextOffset(). A record that can't be read counts as refused. \returns its
    /// fate.
    const proto::Fate& apply(std::string_view record);

    /// \brief Takes over a snapshot if it is further than this state. \returns whether it was.
    bool restore(const proto::Snapshot& snapshot);

    proto::Snapshot snapshot() const;

    /// \returns offset of the next record to apply: all below it are in force here.
    std::uint64_t nextOffset() const { return m_nextOffset; }

    const std::map<std::string, proto::Resource>& resources() const { return m_resources; }
    const proto::Resource* find(const std::string& name) const;

    /// \returns what became of the change \a id, if it is among the last ones.
    std::optional<proto::Fate> fateOf(const std::string& changeId) const;

    /// \returns the last changes, oldest first.
    const std::deque<proto::Fate>& fates() const { return m_fates; }

    /// \returns a hash of the whole state: equal states have equal hashes.
    std::uint64_t digest() const;

protected:
    /// \brief Decides a change. Virtual for tests that break it on purpose. \returns the reason to refuse it,
    /// or "".
    virtual std::string refusalReason(const proto::ChangeRecord& change) const;

private:
    void recordFate(proto::Fate fate);
    std::uint64_t versionOf(const std::string& name) const;

    std::uint64_t m_nextOffset = 0;
    std::map<std::string, proto::Resource> m_resources;
    std::deque<proto::Fate> m_fates;
    std::unordered_map<std::string, proto::Fate> m_fateByChangeId;
};

/// \returns the name of the resource that \a change is about; "" for a snapshot.
const std::string& targetName(const proto::ChangeRecord& change);

} // namespace robinrun
