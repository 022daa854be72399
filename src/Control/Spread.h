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
struct PassOn {
    std::string peer;
    std::string root; ///< whose tree it is
    std::uint64_t from = 0; ///< first offset the child needs
};

/// \brief What a node should do now for the configuration to spread.
struct SpreadStep {
    bool readLog = false; ///< keep a read of the log open
    bool fetchHosts = false; ///< ask the platform for the host list
    std::vector<std::string> digests; ///< peers to tell the applied offset
};

/// \brief Decides how configuration reaches this node and goes on from it.
///
/// The first hosts of a data hall by rendezvous rank are its readers: they tail the log and pass new records
/// down a tree over the hall. Two readers make two trees; none is only slower. Every node tells a random peer
/// its offset now and then (digest); who is behind gets what it lacks. A node that has heard nothing new for
/// long reads the log itself, under a budget with jitter. Cost: a tick is O(hosts of the hall); messages see
/// docs/CAPACITY.md.
class Spread {
public:
    struct Options {
        std::size_t readers = 2; ///< per data hall
        std::size_t fanOut = 8;
        Duration digestEvery = 2s;
        Duration digestAtStart = 300ms; ///< while this node has no configuration, and in `startPhase`
        /// After its start a node tells its offset more often: until links to it stand again, what is passed
        /// down the trees doesn't arrive. Twice the peer links' longest reconnect interval.
        Duration startPhase = 4s;
        double digestAbroad = 0.1; ///< share of digests to another data hall
        Duration quietLimit = 8s; ///< silence after which a node reads the log itself
        double ownReadsPerSecond = 0.1; ///< budget of those reads
        Duration hostsEvery = 2s; ///< readers' interval between fetches of the host list
        Duration hostsEveryOthers = 30s;
    };

    Spread(Options options, HostEntry self, std::uint64_t seed, Instant now);

    /// \brief To be called a few times a second. \param isLogRead whether the log answers this node's reads.
    SpreadStep tick(const Membership& members, std::uint64_t nextOffset, bool isLogRead, Instant now);

    /// \brief The applied offset has risen by records that came down \a root's tree (empty: not from a tree;
    /// they go no further unless this node is a reader). \returns what to pass on.
    std::vector<PassOn> advanced(const Membership& members, const std::string& root, std::uint64_t from,
        std::uint64_t nextOffset, Instant now);

    /// \returns what to pass on in place of \a unreached, a child that turned out to be gone.
    std::vector<PassOn> below(const Membership& members, const PassOn& unreached, Instant now);

    /// \brief Something was heard that shows this node to be up to date: records, or a digest no higher than
    /// its own.
    void heard(Instant now) { m_lastHeard = now; }

    bool isReader(const Membership& members, Instant now);
    const HostEntry& self() const { return m_self; }
    HallRanks& hallRanks() { return m_hallRanks; }

private:
    std::string randomPeer(const Membership& members, Instant now);
    Duration jittered(Duration d);
    void passTo(const Membership& members, const std::string& node, const PassOn& what,
        std::vector<PassOn>& out, Instant now);

    Options m_options;
    HostEntry m_self;
    HallRanks m_hallRanks;
    Random m_random;
    TokenBucket m_ownReads;
    Instant m_started;
    Instant m_lastHeard;
    Instant m_nextDigest;
    Instant m_nextHosts;
    std::unordered_map<std::string, std::uint64_t>
        m_passedOn; ///< by root: offset up to which records were passed
};

} // namespace robinrun
