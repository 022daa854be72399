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

/// \brief Records to forward to a child in a dissemination tree.
struct RecordForward {
    std::string peer;
    std::string treeRoot; ///< name of the node at the root of the tree
    std::uint64_t fromOffset = 0; ///< offset of the first record that the child needs
};

/// \brief What a node should do now to receive and spread the configuration.
struct DisseminationStep {
    bool shouldReadLog = false; ///< keep a read of the log open
    bool shouldFetchHosts = false; ///< fetch the host list from the platform
    std::vector<std::string> digestPeers; ///< nodes to send the applied offset to
};

/// \brief Decides how configuration records reach this node and where it forwards them.
///
/// The first hosts of a data hall by rendezvous rank are its readers: they tail the log and forward new
/// records down a tree over the hall, each reader down its own tree. Two readers are redundant; without any
/// reader, records only arrive later. Every node also sends its offset (a digest) to a random peer at
/// intervals, and the one of the two that is behind gets the records it lacks. A node that has received no
/// sign of being up to date for `silenceTimeout` reads the log itself, with jitter and under a budget. Cost:
/// a tick is O(hosts of the hall); for messages see docs/CAPACITY.md.
class ConfigDisseminator {
public:
    struct Options {
        std::size_t readersPerHall = 2;
        std::size_t fanOut = 8; ///< children per node of a dissemination tree
        Duration digestInterval = 2s;
        Duration startupDigestInterval = 300ms; ///< without any configuration, and during `startupPeriod`
        /// For this time after its start a node sends digests more often: records forwarded down the trees
        /// don't arrive until the peers' links to the node are connected again. Twice the links' longest
        /// reconnect interval.
        Duration startupPeriod = 4s;
        double crossHallDigestFraction = 0.1; ///< share of digests to a hall chosen at random among all halls
        Duration silenceTimeout = 8s; ///< time without a sign of being up to date until a node reads the log
        double fallbackReadsPerSecond = 0.1; ///< budget of the reads of a node that is not a reader
        Duration readerHostFetchInterval = 2s; ///< between a reader's fetches of the host list
        Duration nonReaderHostFetchInterval = 30s;
    };

    ConfigDisseminator(Options options, HostEntry self, std::uint64_t seed, Instant now);

    /// \brief To be called a few times per second. \param isLogReadable whether the log answers this node's
    /// reads.
    DisseminationStep tick(
        const Membership& members, std::uint64_t nextOffset, bool isLogReadable, Instant now);

    /// \brief Handles records that have raised the applied offset.
    /// \param treeRoot root of the tree that the records came down; empty if they came by other ways, then
    /// only a reader forwards them. \param fromOffset of the first record received; \param nextOffset end of
    /// the records applied. \returns what to forward.
    std::vector<RecordForward> onOffsetAdvanced(const Membership& members, const std::string& treeRoot,
        std::uint64_t fromOffset, std::uint64_t nextOffset, Instant now);

    /// \returns what to forward to the children of \a unreachable, a child that can't be reached.
    std::vector<RecordForward> rerouteAround(
        const Membership& members, const RecordForward& unreachable, Instant now);

    /// \brief Records a sign that this node is up to date: records, or a digest with an offset no higher than
    /// its own.
    void confirmUpToDate(Instant now) { m_lastConfirmedAt = now; }

    /// \returns whether this node is among the readers of its hall.
    bool isReader(const Membership& members, Instant now);
    const HostEntry& self() const { return m_self; }
    HallRanking& hallRanking() { return m_hallRanking; }

private:
    std::string pickRandomPeer(const Membership& members, Instant now);
    /// \returns a random duration between 0.5 and 1.5 times \a interval.
    Duration applyJitter(Duration interval);
    /// \brief Appends to \a out one entry per child of \a parent in the tree of \a forward, and per child
    /// of each suspected child.
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
        m_forwardedOffsets; ///< by tree root: end of the records forwarded
};

} // namespace robinrun
