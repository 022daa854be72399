#pragma once

#include "FakeLog.h"
#include "Node/ControlPlane.h"
#include "VirtualLoop.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace robinrun::support {

/// \brief Many control planes in virtual time over one fake log, one lagging host list and a fake network.
///
/// The nodes' own code runs; only the log, the list and the links are fakes. The same seed gives the same
/// run.
class ControlModel {
public:
    struct Options {
        int regions = 2;
        int hallsPerRegion = 2;
        int nodesPerHall = 6;
        FakeLog::Faults logFaults {};
        double lossProbability = 0.02; ///< of messages between nodes
        double bytesPerSecond = 7000; ///< budget of a node's control traffic
    };

    ControlModel(std::uint64_t seed, Options options);

    VirtualLoop& loop() { return m_loop; }
    FakeLog& log() { return m_log; }
    Random& random() { return m_random; }
    std::size_t size() const { return m_nodes.size(); }

    void run(Duration length) { m_loop.run(m_loop.now() + length); }

    /// \brief Appends a change written through node \a index. \returns its id.
    std::string appendChange(std::size_t index, const std::string& name, std::uint64_t base);

    void stop(std::size_t index);
    void start(std::size_t index);
    /// \brief The node neither reads nor sends until \a end; what was sent to it comes late.
    void pause(std::size_t index, Instant end) { m_nodes[index].pausedUntil = end; }
    /// \brief Cuts a region's links to the others until \a end.
    void cutRegion(int region, Instant end);

    bool isLive(std::size_t index) const { return m_nodes[index].plane != nullptr; }
    const ControlPlane& plane(std::size_t index) const { return *m_nodes[index].plane; }
    ControlPlane& plane(std::size_t index) { return *m_nodes[index].plane; }

    /// \returns whether all live nodes have the same state, up to the end of the log.
    bool hasConverged();

    int offsetDecreases() const { return m_offsetDecreases; }
    std::uint64_t sentMessages() const { return m_sentMessages; }
    std::uint64_t sentBytes() const { return m_sentBytes; }
    /// \returns what each node has sent.
    const std::map<std::size_t, std::uint64_t>& sentBytesByNode() const { return m_sentBytesByNode; }
    std::uint64_t logReadCount() const { return m_logReadCount; }

    /// \returns the time from the append of each offset until node \a index applied it; nothing where it has
    /// not.
    std::optional<Instant> appliedAt(std::size_t index, std::uint64_t offset) const;

private:
    class ProcessLog;
    class ProcessHostList;
    struct Node {
        std::string name;
        std::string address;
        int region = 0;
        std::unique_ptr<NodeContext> context;
        std::unique_ptr<AppendLog> log;
        std::unique_ptr<HostList> hosts;
        std::unique_ptr<ControlPlane> plane;
        std::shared_ptr<bool> processAlive;
        Instant pausedUntil {};
        std::uint64_t applied = 0;
        std::map<std::uint64_t, Instant> appliedAt; ///< next offset: first time
    };

    /// \brief The link of one node to another: its first message comes too early, and so do those after a
    /// restart of the other one until the link has noticed.
    struct Link {
        std::shared_ptr<bool> connectedProcess; ///< of the other node, when it stood last; null if never
        std::shared_ptr<bool>
            connectingProcess; ///< life of the other node that it is connecting to; null if none yet
        Instant usableFrom {};
    };

    SendResult send(std::size_t from, const std::string& address, const proto::PeerMessage& message);
    SendResult checkLink(std::size_t from, std::size_t to);
    void transmit(std::size_t from, std::size_t to, const proto::PeerMessage& message);
    void deliver(std::size_t to, const PeerSocket::Sender& sender, const proto::PeerMessage& message);
    void tick(std::size_t index);
    void onConfigChanged(std::size_t index);
    HostPage hostPage() const;

    Options m_options;
    VirtualLoop m_loop;
    Random m_random;
    FakeLog m_log;
    std::vector<Node> m_nodes;
    std::map<std::string, std::size_t> m_nodeIndexByAddress;
    std::map<std::pair<std::size_t, std::size_t>, Link> m_links; ///< by sender and receiver
    std::vector<Instant> m_regionCutUntil;
    std::map<std::string, HostEntry> m_hostEntries;
    std::uint64_t m_hostListVersion = 1;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_writeCount = 0;
    int m_offsetDecreases = 0;
    std::uint64_t m_sentMessages = 0;
    std::uint64_t m_sentBytes = 0;
    std::map<std::size_t, std::uint64_t> m_sentBytesByNode;
    std::uint64_t m_logReadCount = 0;
};

} // namespace robinrun::support
