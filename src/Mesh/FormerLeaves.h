#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief From whom a node knows which leaves of its backend server former processes of it acknowledged.
enum class LeaveKnowledge {
    None,
    Store, ///< may lack a leave that was acknowledged while the store was down
    Peers, ///< complete
};

template <> struct EnumNames<LeaveKnowledge> {
    static constexpr std::array<std::string_view, 3> names { "none", "store", "peers" };
};

/// \brief Keeps track of what a process that has just started knows of acknowledged leaves.
///
/// A process of a node keeps nothing on disk. Its records at peers that were there before it started are
/// complete, as a leave is sent to peers before it is acknowledged. The record in the store is the newest one
/// unless the store was down when the leave was acknowledged, which the first read of it shows.
/// Does no I/O. Cost: O(log contacts) per contact message until peers have told.
/// \sa docs/design/leaving.md
class FormerLeaves {
public:
    /// Processes that are killed together start again within this time.
    static constexpr Duration startSpread = 5s;

    /// \param started when this process started.
    explicit FormerLeaves(Instant started)
        : m_started(started)
        , m_knownSince(started)
    {
    }

    /// \brief Records the first successful read of the nodes' records.
    /// \param isFirstTry whether no read had failed before.
    void onStoreRead(bool isFirstTry);

    /// \brief Records that the contact \a peer knows all leaves since \a knownSince.
    void onContact(const std::string& peer, Instant knownSince);

    /// \brief Records that this node has all records that \a peer has.
    void onRecordsCompared(const std::string& peer);

    LeaveKnowledge knowledge() const { return m_knowledge; }

    /// \returns for how long this node has known the acknowledged leaves of all nodes, as far as contacts can
    /// tell; a day at most, which fits in the message that tells it.
    Duration knownFor(Instant now) const { return std::min<Duration>(now - m_knownSince, 24h); }

private:
    Instant m_started;
    Instant m_knownSince;
    LeaveKnowledge m_knowledge = LeaveKnowledge::None;
    std::map<std::string, Instant> m_contacts; ///< that were there before, until one has told its records
};

} // namespace robinrun
