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

/// \brief Runs the control planes of many nodes in virtual time over a fake log, host list and network.
///
/// The control planes are the real code; only the log, the host list and the links between nodes are fakes.
/// The same seed gives the same run.
class ControlModel {
public:
    struct Options {
        int regions = 2;
        int hallsPerRegion = 2;
        int nodesPerHall = 6;
        FakeLog::Faults logFaults {};
        double lossProbability = 0.02; ///< of each message between nodes
        double bytesPerSecond = 7000; ///< each node's budget of control traffic
    };

    ControlModel(std::uint64_t seed, Options options);

    VirtualLoop& loop() { return m_loop; }
    FakeLog& log() { return m_log; }
    Random& random() { return m_random; }
    std::size_t size() const { return m_nodes.size(); }

    void run(Duration length) { m_loop.run(m_loop.now() + length); }

    /// \brief Appends a change of service \a name with base version \a base to the log, as node \a index.
    /// \returns the id of the change.
    std::string appendChange(std::size_t index, const std::string& name, std::uint64_t base);

    void stop(std::size_t index);
    void start(std::size_t index);
    /// \brief Pauses the node until \a end: it does no timed work, and messages to it arrive only then.
    void pause(std::size_t index, Instant end) { m_nodes[index].pausedUntil = end; }
    /// \brief Drops all messages between a region and the others until \a end.
    void cutRegion(int region, Instant end);

    bool isLive(std::size_t index) const { return m_nodes[index].plane != nullptr; }
    const ControlPlane& plane(std::size_t index) const { return *m_nodes[index].plane; }
    ControlPlane& plane(std::size_t index) { return *m_nodes[index].plane; }

    /// \returns whether all running nodes have applied the whole log and have equal states.
    bool hasConverged();

    /// \returns how often the applied offset of a running node has decreased; must be 0.
    int offsetDecreases() const { return m_offsetDecreases; }
    std::uint64_t sentMessages() const { return m_sentMessages; }
    std::uint64_t sentBytes() const { return m_sentBytes; }
    /// \returns the bytes that each node has sent, by node index.
    const std::map<std::size_t, std::uint64_t>& sentBytesByNode() const { return m_sentBytesByNode; }
    std::uint64_t logReadCount() const { return m_logReadCount; }

    /// \returns when node \a index applied the record at \a offset; nothing if it has not.
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
        std::shared_ptr<bool> processAlive; ///< made at each start; false after the stop
        Instant pausedUntil {};
        std::uint64_t appliedOffset = 0;
        std::map<std::uint64_t, Instant> appliedAt; ///< by applied offset: when it was reached
    };

    /// \brief The link of one node to another. It must connect before it carries messages, both at first use
    /// and after a restart of the other node.
    struct Link {
        /// The process of the other node that got the last message; null before the first message.
        std::shared_ptr<bool> connectedProcess;
        /// The process of the other node that the link is reconnecting to; null before the first reconnect.
        std::shared_ptr<bool> connectingProcess;
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
    std::uint64_t m_changeCount = 0;
    int m_offsetDecreases = 0;
    std::uint64_t m_sentMessages = 0;
    std::uint64_t m_sentBytes = 0;
    std::map<std::size_t, std::uint64_t> m_sentBytesByNode;
    std::uint64_t m_logReadCount = 0;
};

} // namespace robinrun::support
