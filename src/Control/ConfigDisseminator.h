#pragma once

#include "Control/Membership.h"
#include "Control/Tree.h"
#include "Core/Random.h"
#include "Core/Time.h"
#include "Core/TokenBucket.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace robinrun {

/// \brief Records to pass on to a child of a tree.
struct RecordForward {
    std::string peer;
    std::string treeRoot; ///< whose tree it is
    std::uint64_t fromOffset = 0; ///< first offset the child needs
};

/// \brief What a node should do now for the configuration to spread.
struct DisseminationStep {
    bool shouldReadLog = false; ///< keep a read of the log open
    bool shouldFetchHosts = false; ///< ask the platform for the host list
    std::vector<std::string> digestPeers; ///< peers to tell the applied offset
};

/// \brief Decides how configuration reaches this node and goes on from it.
///
/// The first hosts of a data hall by rendezvous rank are its readers: they tail the log and pass new records
/// down a tree over the hall. Two readers make two trees; none is only slower. Every node tells a random peer
/// its offset now and then (digest); who is behind gets what it lacks. A node that has heard nothing new for
/// long reads the log itself, under a budget with jitter. Cost: a tick is O(hosts of the hall); messages see
/// docs/CAPACITY.md.
class ConfigDisseminator {
public:
    struct Options {
        std::size_t readersPerHall = 2; ///< per data hall
        std::size_t fanOut = 8;
        Duration digestInterval = 2s;
        Duration startupDigestInterval = 300ms; ///< while this node has no configuration, and in `startPhase`
        /// After its start a node tells its offset more often: until links to it stand again, what is passed
        /// down the trees doesn't arrive. Twice the peer links' longest reconnect interval.
        Duration startupPeriod = 4s;
        double crossHallDigestFraction = 0.1; ///< share of digests to another data hall
        Duration silenceTimeout = 8s; ///< silence after which a node reads the log itself
        double fallbackReadsPerSecond = 0.1; ///< budget of those reads
        Duration readerHostFetchInterval = 2s; ///< readers' interval between fetches of the host list
        Duration nonReaderHostFetchInterval = 30s;
    };

    ConfigDisseminator(Options options, HostEntry self, std::uint64_t seed, Instant now);

    /// \brief To be called a few times a second. \param isLogRead whether the log answers this node's reads.
    DisseminationStep tick(
        const Membership& members, std::uint64_t nextOffset, bool isLogReadable, Instant now);

    /// \brief The applied offset has risen by records that came down \a root's tree (empty: not from a tree;
    /// they go no further unless this node is a reader). \returns what to pass on.
    std::vector<RecordForward> onOffsetAdvanced(const Membership& members, const std::string& treeRoot,
        std::uint64_t fromOffset, std::uint64_t nextOffset, Instant now);

    /// \returns what to pass on in place of \a unreached, a child that turned out to be gone.
    std::vector<RecordForward> rerouteAround(
        const Membership& members, const RecordForward& unreachable, Instant now);

    /// \brief Something was heard that shows this node to be up to date: records, or a digest no higher than
    /// its own.
    void confirmUpToDate(Instant now) { m_lastConfirmedAt = now; }

    bool isReader(const Membership& members, Instant now);
    const HostEntry& self() const { return m_self; }
    HallRanking& hallRanking() { return m_hallRanking; }

private:
    std::string pickRandomPeer(const Membership& members, Instant now);
    Duration applyJitter(Duration interval);
    void appendForwards(const Membership& members, const std::string& parent, const RecordForward& forward,
        std::vector<RecordForward>& out, Instant now);

    Options m_options;
    HostEntry m_self;
    HallRanking m_hallRanking;
    Random m_random;
    TokenBucket m_fallbackReadBudget;
    Instant m_startTime;
    Instant m_lastConfirmedAt;
    Instant m_nextDigestAt;
    Instant m_nextHostFetchAt;
    std::unordered_map<std::string, std::uint64_t>
        m_forwardedOffsets; ///< by root: offset up to which records were passed
};

} // namespace robinrun
