#pragma once

#include "Config/ConfigState.h"
#include "Platform/AppendLog.h"
#include "peer.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace robinrun {

/// \brief Whether the log can be followed.
enum class LogFollowState {
    NotYetRead, ///< not read since the start
    Followed,
    Unreachable,
    Diverged, ///< it ends before what is applied here, or is another log: reported, never followed
    Gap, ///< records were forgotten that are needed, and no snapshot has been found yet
};

template <> struct EnumNames<LogFollowState> {
    static constexpr std::array<std::string_view, 5> names { "unread", "followed", "unreachable", "shorter",
        "gap" };
};

/// \brief Keeps a ConfigState up to date from pages of the log and from records passed on by peers.
///
/// It never goes backwards: records below the applied offset are passed over, records beyond the next one
/// wait for the gap to be filled. After a gap in the log it looks for a snapshot record whose content starts
/// inside what is kept, and replays from there.
class ConfigFollower {
public:
    enum class Progress {
        None,
        Advanced,
        NeedsEarlierRecords, ///< the records begin beyond the next one: pull from nextOffset()
    };

    /// \brief Takes what was read from the log at readFrom() on.
    Progress applyLogPage(const LogPage& page);

    /// \brief The log could not be read.
    void onLogReadFailed();

    /// \brief Takes records from a peer. Records of another log than the one followed are passed over.
    Progress applyPeerRecords(const proto::Records& records);

    /// \returns the offset to read the log from.
    std::uint64_t nextReadOffset() const;

    /// \returns records from \a from on for a peer, or the whole state where they are no longer held.
    proto::Records recordsFrom(std::uint64_t from) const;

    /// \returns whether a snapshot should be appended: half of what the log keeps has passed since the last
    /// one.
    bool needsSnapshot() const { return m_needsSnapshot; }

    const ConfigState& state() const { return m_state; }
    std::uint64_t nextOffset() const { return m_state.nextOffset(); }
    const std::string& logId() const { return m_logId; }
    LogFollowState logState() const { return m_logState; }

    /// \returns the end of the log when it was last read: beyond nextOffset(), something is missing here.
    std::uint64_t knownLogEnd() const { return m_knownLogEnd; }

private:
    /// Records held to pass on; older ones are served as a snapshot.
    static constexpr std::size_t maxRecentRecords = 256;
    /// Records after the last snapshot, as a share of what the log keeps, beyond which a new one is due.
    static constexpr std::uint64_t maxRecordsBetweenSnapshots = 512;

    Progress applyRecord(std::uint64_t offset, const std::string& record);
    Progress recoverFromGap(const LogPage& page);

    ConfigState m_state;
    std::string m_logId;
    LogFollowState m_logState = LogFollowState::NotYetRead;
    std::uint64_t m_knownLogEnd = 0;
    std::uint64_t m_gapNextReadOffset = 0;
    std::map<std::uint64_t, std::string> m_recordsAfterGap;
    std::map<std::uint64_t, std::string> m_recentRecords;
    std::uint64_t m_lastSnapshotOffset = 0;
    bool m_needsSnapshot = false;
};

} // namespace robinrun
