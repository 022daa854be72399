#pragma once

#include "Config/ConfigState.h"
#include "Platform/AppendLog.h"
#include "peer.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace robinrun {

/// \brief Whether and how the configuration log can be followed.
enum class LogFollowState {
    NotYetRead, ///< not read since the start of this node
    Followed,
    Unreachable,
    Diverged, ///< the log ends before the applied offset, or is a different log; it is reported, never
              ///< followed
    Gap, ///< the log has dropped records that are needed, and no usable snapshot has been found yet
};

template <> struct EnumNames<LogFollowState> {
    static constexpr std::array<std::string_view, 5> names { "unread", "followed", "unreachable", "shorter",
        "gap" };
};

/// \brief Keeps a ConfigState up to date from pages of the log and from records sent by peers.
///
/// The applied offset never decreases: records below it are skipped, and records beyond the next offset are
/// not applied before the missing ones. After a gap in the log, the follower searches for a snapshot record
/// whose state ends at an offset that the log still holds, restores it and replays the log from there.
class ConfigFollower {
public:
    enum class Progress {
        None,
        Advanced,
        NeedsEarlierRecords, ///< the records begin beyond nextOffset(): pull from there
    };

    /// \brief Applies a page that was read from the log at nextReadOffset().
    Progress applyLogPage(const LogPage& page);

    /// \brief Records that the log could not be read.
    void onLogReadFailed();

    /// \brief Applies records sent by a peer. Records of a log other than the followed one are ignored.
    Progress applyPeerRecords(const proto::Records& records);

    /// \returns the offset to read the log from.
    std::uint64_t nextReadOffset() const;

    /// \returns the records from offset \a from on, to send to a peer; a snapshot of the whole state if they
    /// are no longer in memory.
    proto::Records recordsFrom(std::uint64_t from) const;

    /// \returns whether a snapshot record should be appended: 512 records have been applied since the last
    /// one, or the log has begun to drop records and the last one is not in the newer half of what it holds.
    bool needsSnapshot() const { return m_needsSnapshot; }

    const ConfigState& state() const { return m_state; }
    std::uint64_t nextOffset() const { return m_state.nextOffset(); }
    const std::string& logId() const { return m_logId; }
    LogFollowState logState() const { return m_logState; }

    /// \returns the end of the log as last seen. If it is above nextOffset(), this node lacks records.
    std::uint64_t knownLogEnd() const { return m_knownLogEnd; }

private:
    /// Records kept in memory to send to peers; a peer that needs older ones gets a snapshot.
    static constexpr std::size_t maxRecentRecords = 256;
    /// A snapshot is due when this many records have been applied since the last one.
    static constexpr std::uint64_t maxRecordsBetweenSnapshots = 512;

    Progress applyRecord(std::uint64_t offset, const std::string& record);
    /// \brief Handles a page that begins beyond nextOffset(): collects its records until a snapshot among
    /// them can be restored.
    Progress recoverFromGap(const LogPage& page);

    ConfigState m_state;
    std::string m_logId;
    LogFollowState m_logState = LogFollowState::NotYetRead;
    std::uint64_t m_knownLogEnd = 0;
    std::uint64_t m_gapNextReadOffset = 0;
    std::map<std::uint64_t, std::string> m_recordsAfterGap; ///< by offset; read, but not applied yet
    std::map<std::uint64_t, std::string> m_recentRecords; ///< by offset; the last records applied
    std::uint64_t m_lastSnapshotOffset = 0;
    bool m_needsSnapshot = false;
};

} // namespace robinrun
