#pragma once

#include "Config/ConfigFollower.h"
#include "Control/ConfigDisseminator.h"
#include "Control/InForceAggregator.h"
#include "Control/Membership.h"
#include "Core/TokenBucket.h"
#include "Node/NodeContext.h"
#include "Node/PeerLinks.h"
#include "Platform/AppendLog.h"
#include "Platform/HostList.h"
#include "Wire/PeerSocket.h"
#include "peer.pb.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Keeps this node's configuration and host list up to date, passes both on, and counts what is in
/// force.
class ControlPlane {
public:
    using Changed = std::function<void()>;
    using Counted = std::function<void(const proto::InForce&)>;

    ControlPlane(NodeContext& context, AppendLog& log, HostList& hosts, PeerLinks peers, Instant now);

    /// \brief Runs \a f after the configuration or the members have changed, at most once a turn of the loop.
    void onChanged(Changed f) { m_changed = std::move(f); }

    /// \brief A control message came. \returns false if it is none.
    bool take(const PeerSocket::Sender& sender, proto::PeerMessage& message, Instant now);

    /// \brief Timed work, a few times a second.
    void tick(Instant now);

    /// \brief Reads the log as soon as possible, to learn the fate of a change written through this node.
    void readSoon(Instant now);

    /// \brief Asks the top of the counting tree for the sum over all nodes. \a done runs once, with this
    /// subtree's sum if the top doesn't answer within a second.
    void countInForce(Counted done, Instant now);

    const ConfigFollower& follower() const { return m_follower; }
    const Membership& members() const { return m_members; }
    Membership& members() { return m_members; }
    bool isReader(Instant now) { return m_spread.isReader(m_members, now); }

private:
    void readLog(Instant now);
    void takePage(const LogPage& page, Instant now);
    /// \brief The configuration has moved on from the offset \a from: passes the new records on down the tree
    /// of \a root ("": this node) and runs the function given to onChanged().
    void advanced(const std::string& root, std::uint64_t from, Instant now);
    /// \brief Passes records on; those below a child that turns out to be gone are served in its place.
    void passOn(std::vector<RecordForward> list, Instant now);
    SendResult sendRecords(const RecordForward& what, Instant now);
    void takeRecords(const PeerSocket::Sender& sender, const proto::Records& records, Instant now);
    void takeDigest(const PeerSocket::Sender& sender, const proto::Digest& digest, Instant now);
    /// \brief Answers a node whose configuration ends at the offset \a from with the records after it.
    void answerRecords(const PeerSocket::Sender& sender, std::uint64_t from, Instant now);
    /// \brief Asks \a sender for the records that this node lacks.
    void pull(const PeerSocket::Sender& sender, Instant now);
    void fetchHosts(Instant now);
    void sendHosts(const PeerSocket::Sender& sender, std::uint64_t since, Instant now);
    void takeHosts(const proto::HostChanges& changes);
    /// \returns the node that this one reports to; "" if it is the top of the counting tree.
    std::string countingParent(Instant now);
    void reportUp(Instant now);
    void appendSnapshot(Instant now);
    /// \brief Answers the question \a number of a node below for the sum over all nodes.
    void answerCount(const PeerSocket::Sender& sender, std::uint64_t number, Instant now);
    void takeCount(const proto::InForceReply& answer);
    void expireCounts(Instant now);
    proto::InForce ownSum(Instant now);
    /// \returns whether the budget of control traffic has room for \a message.
    bool payFor(const proto::PeerMessage& message, Instant now);
    /// \brief Sends inside the budget. What meets a link that is being opened goes out when that stands.
    /// \returns Connecting also for a message that the budget has no room for, which is dropped.
    SendResult post(const std::string& address, proto::PeerMessage& message, Instant now);
    /// \brief Answers inside the budget, along the link that the question came by.
    void reply(const PeerSocket::Sender& sender, proto::PeerMessage& message, Instant now);
    void sendOpening(Instant now);
    SendResult sendToNode(const std::string& name, proto::PeerMessage& message, Instant now);

    NodeContext* m_context;
    AppendLog* m_log;
    HostList* m_hosts;
    PeerLinks m_peers;
    struct Opening {
        std::string address;
        proto::PeerMessage message;
    };
    std::vector<Opening> m_opening; ///< paid for; their links are being opened
    Changed m_changed;
    Membership m_members;
    ConfigDisseminator m_spread;
    ConfigFollower m_follower;
    InForceAggregator m_inForce;
    TokenBucket m_budget; ///< bytes
    bool m_isReading = false;
    bool m_isLogAnswering = false;
    bool m_readWanted = false;
    Instant m_readAgainAt {};
    std::optional<Instant> m_behindSince;
    Instant m_nextReport;
    std::uint64_t m_lastReported = 0;
    std::string m_lastParent;
    Instant m_nextSnapshot;
    std::uint64_t m_snapshots = 0;
    struct Count {
        std::uint64_t number;
        Counted done;
        Instant since;
    };
    std::deque<Count> m_counts;
    std::uint64_t m_lastCount = 0;
};

} // namespace robinrun
