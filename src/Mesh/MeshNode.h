#pragma once

#include "Chart/Charts.h"
#include "Http/HttpServer.h"
#include "Mesh/AnnouncedUpstream.h"
#include "Mesh/BackendDiscovery.h"
#include "Mesh/ConfigHolder.h"
#include "Mesh/ConfigPartAssembler.h"
#include "Mesh/ConfigPartServer.h"
#include "Mesh/ConfigPullScheduler.h"
#include "Mesh/ContactReachability.h"
#include "Mesh/CrashRecords.h"
#include "Mesh/EmptiedHalls.h"
#include "Mesh/FollowerSelection.h"
#include "Mesh/FormerLeaves.h"
#include "Mesh/Gossip.h"
#include "Mesh/LenderSuccession.h"
#include "Mesh/MeshFormats.h"
#include "Mesh/NodeRegistry.h"
#include "Mesh/PendingAcknowledgements.h"
#include "Mesh/ReachEstimate.h"
#include "Mesh/ReadyProof.h"
#include "Mesh/RecordWriter.h"
#include "Mesh/RolloutReports.h"
#include "Mesh/RolloutStatusWriter.h"
#include "Mesh/StoreReadTiming.h"
#include "Mesh/TopicFollower.h"
#include "Mesh/WatchGroup.h"
#include "Node/DrainEnd.h"
#include "Node/Ingress.h"
#include "Node/LeavingNews.h"
#include "Node/NodeContext.h"
#include "Node/Owner.h"
#include "Node/Timer.h"
#include "Platform/RecordStore.h"
#include "Rates/GroupRateLimiter.h"
#include "Rollout/RolloutJudge.h"
#include "Settings/NodeSettings.h"
#include "Wire/PeerSocket.h"

#include <cstdint>
#include <event2/event.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace robinrun {

/// \brief A node where backend servers announce themselves and all nodes meet in a keyed store.
///
/// It has the same roles as Node, ingress and owner, without a host list and without a log of changes: the
/// configuration is one record of the store, each node writes one record of itself there, and peers send each
/// other both, so that a node which the store refuses continues to work.
class MeshNode {
public:
    /// \brief Binds all sockets and starts. The error is a sentence.
    static Result<std::unique_ptr<MeshNode>, std::string> start(event_base* base, NodeSettings settings,
        Charts charts, std::uint64_t incarnation, MeshFormats formats, std::unique_ptr<RecordStore> store);
    ~MeshNode();
    MeshNode(const MeshNode&) = delete;
    MeshNode& operator=(const MeshNode&) = delete;

    /// \brief Begins a planned stop: the node is no longer ready, ends what it has, then ends the loop.
    void stop();

    /// \brief Takes over the settings that can change in a running node (logs, admission, retries).
    void reload(const NodeSettings& settings);

    /// \returns whether callers should come here: there is a configuration, the other nodes are known or the
    /// store has not answered for a while, and no stop has been asked for.
    bool isReady() const;

private:
    MeshNode(event_base* base, NodeSettings settings, Charts charts, std::uint64_t incarnation,
        MeshFormats formats, std::unique_ptr<RecordStore> store);
    Result<void, std::string> bind();
    Result<void, std::string> bindPeers();
    void makeParts();
    void sendLoad(const std::string& address, proto::LoadNews& news);
    Result<void, std::string> bindServers();
    void startFeeds();
    void addGauges();
    void addCallerGauges();
    void addBackendGauges();
    template <class Calls> void addStoreGauges(const std::string& kind, const Calls& calls);

    void onMessage(const PeerSocket::Sender& sender, proto::PeerMessage& message);
    void onContact(const PeerSocket::Sender& sender, const proto::NodeContact& contact, Instant now);
    void onRecords(const PeerSocket::Sender& sender, const proto::NodeRecords& records, Instant now);
    void onSummaries(const PeerSocket::Sender& sender, const proto::RecordSummaries& summaries, Instant now);
    /// \returns the names of the nodes in regular contact.
    std::vector<std::string> contacts() const;
    /// \returns whether it was news.
    bool applyRecord(const proto::NodeRecord& record, Instant now);
    void onPartRequest(
        const PeerSocket::Sender& sender, const proto::ConfigPartRequest& request, Instant now);
    void onPart(const PeerSocket::Sender& sender, const proto::ConfigPart& part, Instant now);
    /// \brief Adopts the configuration of a copy that has been received completely.
    void adoptCopy(const std::string& source, Instant now);
    proto::PeerMessage partRequest() const;
    void applyStoredNode(const KeyedRecord& stored, Instant now);
    /// \brief Writes the own record once more if the newest one in \a page is older and lacks the leaving.
    void rewriteIfOlder(const KeyedPage& page);
    /// \returns the node's record that a record of the store holds; nothing if it is malformed or already
    /// known.
    std::optional<proto::NodeRecord> readStoredNode(const KeyedRecord& stored);
    /// \brief Counts and logs an entry that no part of this deployment can have written.
    /// \param kind of entry. \param what name of the entry. \param fault error with the field.
    void logForeignEntry(std::string_view kind, std::string_view what, std::string_view fault);
    bool applyOwnRecord(const proto::NodeRecord& record, Instant now);
    /// \brief Makes the records of this incarnation count as later than \a former, which a former incarnation
    /// wrote before the clock was set back.
    void raiseIncarnationAbove(const proto::NodeRecord& former, Instant now);
    /// \returns whether \a node, or this start of it, is not known yet.
    bool isNewLife(const std::string& node, std::uint64_t incarnation) const;

    /// \brief Sends a crash of the backend server beside this node to all nodes and writes it to the store.
    void publishCrash(const proto::CrashReport& report);
    /// \brief Sends an acquittal by a good end beside this node to all nodes after a short delay.
    void publishAcquittal(const proto::CrashAcquittal& acquittal);
    /// \brief Takes the crash reports of a former incarnation of this node into its own record.
    void adoptFormerCrashes(const proto::NodeRecord& former, Instant now);
    /// \brief Accepts calls and writes the node's own record once crashes elsewhere and roll-outs are known.
    void onCrashRecordsChanged(Instant now);

    /// \brief Applies the orders of roll-outs in a page of the configuration topic.
    void applyStoredRollouts(const KeyedPage& page, Instant now);
    void onRolloutRecords(const proto::RolloutRecords& records, Instant now);
    /// \brief Applies the state of the roll-outs to the choice of servers and sends it to the contacts.
    void onRolloutsChanged(Instant now);
    void sendRollouts(Instant now);
    /// \brief Sends all known roll-outs to a contact that knows others.
    void compareRollouts(const PeerSocket::Sender& sender, const proto::NodeContact& contact, Instant now);
    /// \brief This node knows the roll-outs from the store or a contact: it may take calls.
    void onRolloutsHeard(Instant now);
    /// \returns the first \a n of the nodes that are not known to be lost, in the order in which they judge
    /// the roll-out and write its status. Cost: O(nodes).
    std::vector<std::string> rankedNodes(std::uint64_t rollout, std::size_t n) const;
    void reportOwnVersion(Instant now);
    void onVersionReport(const proto::VersionReport& report, Instant now);
    RolloutBounds rolloutBounds() const;
    std::vector<RolloutJudge::Server> serversOf(const std::string& service) const;
    void judgeRollouts(Instant now);
    /// \brief Writes the status of roll-outs where it is this node's turn.
    void writeRolloutStatus(Instant now);
    /// \returns whether this node writes a status that has been due for \a pending, by its rank.
    bool isWriter(std::uint64_t rollout, Duration pending) const;
    void onRolloutStatusWritten(std::uint64_t id, RolloutOutcome outcome, Instant now);
    void tickRollouts(Instant now);
    void addRolloutGauges();
    void setBackendVersion(const std::string& version);
    /// \brief Takes the version of the backend server from the record of a former life of this node, if the
    /// server is still the same and has not announced its version since.
    void adoptFormerVersion(const proto::NodeRecord& former, Instant now);

    void answerReadiness(HttpExchange& exchange) const;
    void answerMetrics(HttpExchange& exchange) const;
    /// \returns an announcement of the backend server beside this node. The error names the field.
    Result<Announcement, std::string> readAnnouncement(const HttpRequest& request) const;
    void onAnnouncement(std::unique_ptr<HttpExchange> exchange);
    /// \returns whether the acknowledgement of \a told waits until the store has the node's record.
    bool awaitsStore(const Announcement& told) const;
    /// \returns whether the store has the node's record as it is now.
    bool isRecordStored() const;
    /// \brief Acknowledges leaves that have waited too long for the store.
    void acknowledgeOverdue(Instant now);
    /// \brief Applies an announcement that is believed.
    void applyAnnouncement(const Announcement& told, Instant now);
    /// \brief Asks the health path of the backend server until an answer is believed.
    void startDiscovery();
    /// \brief Applies the health answer \a found of the backend server, or asks again later if it can't be
    /// believed yet.
    void onHealthAnswer(const Announcement& found);
    /// \brief Applies the announcement that waits for what peers know of former leaves.
    void onFormerLeavesKnown(Instant now);
    void onUpstreamChanged(Instant now);
    /// \brief Records that \a life leaves while no life of the server is known otherwise. The record of this
    /// process replaces that of the former one, which may say so.
    void recordLeaving(const BackendLife& life, std::uint32_t slots, Instant now);

    void offerConfiguration(std::string_view text, std::string_view source, Instant now);
    void takeStoredConfiguration(const KeyedPage& page, Instant now);
    /// \brief Applies a change of the emptied halls to the routing and sends it to the contacts.
    void onHallsChanged(Instant now);
    /// \brief Writes the own record again, since the store has been restored from an older copy.
    void onStoreReturned(Instant now);
    /// \returns a share of the time in which all nodes may write at once, within the store's rates.
    Duration rewriteDelay();
    /// \brief Puts the configuration that was adopted just now in force. \param former in force before.
    void configurationAdopted(ConfigVersionText former, Instant now);
    /// \returns whether others watch the store for this node.
    bool isWatched(Instant now) const
    {
        return m_group.isMember() ? m_share.mayStandBy(now) : m_group.mayStandBy(now);
    }
    /// \brief Handles a contact's report of when its configuration was confirmed.
    void onConfirmation(const proto::NodeContact& contact, Instant now);
    /// \brief Handles a contact's report of since when it knows which leaves were acknowledged.
    void noteKnownLeaves(const PeerSocket::Sender& sender, const proto::NodeContact& contact, Instant now);
    /// \brief This node has all records that the node \a peer has.
    void onRecordsCompared(const std::string& peer, Instant now);
    /// \brief Sends \a contact to the other members of the watch group that are no contacts.
    void sendToWatchGroup(const proto::NodeContact& contact, Instant now);
    /// \brief Ends the standby from following the configuration if too few other nodes follow it.
    void followIfNeeded(Instant now);
    /// \brief Requests a newer configuration from a peer, if a request is due.
    void pullIfDue(Instant now);
    void rebuildSoon();
    /// \brief Brings the configuration in force into the directory, and the upstreams that are known.
    void rebuild();
    /// \brief Brings the upstreams that are known into the directory: each change of a node's record does,
    /// and hundreds of nodes change at once.
    void rebuildUpstreams();
    /// \returns all upstreams but those that a former life of this node owned.
    std::vector<proto::Resource> usableUpstreams() const;
    void watchAmongNodes();
    /// \returns this node's share of the retries that the deployment's nodes may save up.
    double retryBurst() const;
    void publish(Instant now);
    /// \brief As publish(), but the store's record is written a moment later unless publish() is called
    /// before.
    void publishProvisional(Instant now);
    /// \brief Writes this node's record to the store, once what its former life wrote there was read.
    void writeRecord(Instant now);
    /// \brief Sends this node's record to the contacts without writing it to the store.
    void gossipRecord(Instant now);
    void sendContacts(Instant now);
    void sendToContact(const std::string& address, proto::PeerMessage& message, Instant now);
    /// \brief Marks contacts that could not be reached for `peers.forgetAfter` as gone, here, at the peers
    /// and in the store. A node that still runs publishes its record again when it receives that.
    void removeLostPeers(Instant now);
    /// \brief Schedules the relays that are queued in the gossip.
    void relaySoon();
    /// \returns a function that answers \a sender over the link by which its message came.
    Gossip::ReplyFunction replyTo(const PeerSocket::Sender& sender, Instant now);
    /// \returns how long to wait until the nodes' topic is read again.
    Duration nodesPause();
    /// \brief Begins to follow the configuration, once the nodes are known or the store has not told them in
    /// time. Does nothing if that has begun.
    void startConfigFeed(Instant now);
    /// \returns whether to stand by for a while after the first configuration of a system whose nodes start
    /// at the same time: none knows another yet, and by the end of the wait they watch the store for each
    /// other.
    bool restsAfterFirstConfiguration(Instant now);
    /// \returns whether so many nodes are known that some of them tell this one what it lacks.
    bool knowsManyNodes() const;
    /// \returns how many nodes are known that are not gone. Cost: O(nodes).
    std::size_t livingNodes() const;

    RateTolerance rateTolerance() const;
    bool sendToNode(const std::string& node, proto::PeerMessage& message, Instant now);
    /// \brief Passes the rates of the configuration in force to the rate limiter.
    void setRates();
    /// \brief Passes the known nodes to the rate limiter; called at each change of a node's record.
    void setLenders();
    /// \brief Updates which lost nodes are succeeded as lenders, and how much this node may lend.
    void updateSuccession(Instant now);
    /// \returns the names of the contacts by their addresses.
    std::map<std::string, std::string> contactsByAddress() const;
    /// \brief Marks the contacts that could not be reached for `peers.unreachableAfter`, here and at the
    /// peers, if most of the nodes can be reached.
    void markUnreachablePeers(Instant now);
    /// \brief Peers have marked this node as unreachable: takes that back and begins anew as a lender.
    void takeMarkBack(Instant now);
    /// \brief Schedules credit requests that could not be sent while links were being opened.
    void askForCreditsSoon();
    /// \returns the part of the nodes that can be reached, as far as the contacts show. What other data halls
    /// are concerned, the bridges tell it to the contacts of their own hall.
    double reach(Instant now) const;
    /// \returns the part of the contacts in other data halls that can be reached; nothing without any.
    std::optional<double> ownFarReach() const;
    /// \returns the part of \a names whose links are not known to be lost; nothing without any.
    std::optional<double> reachOf(const std::vector<std::string>& names) const;
    void onCreditRequest(const PeerSocket::Sender& sender, const proto::CreditAsk& ask, Instant now);

    void tick();
    /// \brief Updates whether the configuration is proven to be new enough to judge credentials by it.
    void updateConfigProof(Instant now);
    void detectStandstill();
    void step(NodeEvent event);
    void beginLeaving();
    /// \brief Ends the draining node if nothing is left to do, or its time is over.
    void endIfDone(Instant now);

    /// Time for which a stopping node waits for calls in transit after it has answered its last call.
    static constexpr Duration lingering = 200ms;

    NodeContext m_context;
    MeshFormats m_formats;
    NodeState m_state;
    Instant m_started;
    std::unique_ptr<RecordStore> m_store;
    std::unique_ptr<PeerSocket> m_peers;
    std::unique_ptr<GroupRateLimiter> m_rates;
    std::unique_ptr<LeavingNews> m_news;
    std::unique_ptr<Owner> m_owner;
    std::unique_ptr<Ingress> m_ingress;
    PendingAcknowledgements m_acknowledgements; ///< outlives the server whose requests it holds
    std::unique_ptr<HttpServer> m_callers;
    std::unique_ptr<HttpServer> m_readiness;
    std::unique_ptr<HttpServer> m_announcements;
    std::unique_ptr<HttpServer> m_metrics;
    std::unique_ptr<TopicFollower> m_configFeed;
    std::unique_ptr<TopicFollower> m_nodesFeed;
    std::unique_ptr<RecordWriter> m_writer;
    std::unique_ptr<BackendDiscovery> m_finder;
    ConfigHolder m_config;
    EmptiedHalls m_halls;
    RolloutReports m_rolloutReports;
    std::map<std::uint64_t, RolloutJudge> m_judges; ///< by id of the roll-out
    std::unique_ptr<RolloutStatusWriter> m_rolloutStatus;
    Instant m_nextRolloutContact {};
    bool m_hasHeardRollouts = false; ///< from the store or a contact, in this life
    Instant m_nextRolloutTick {};
    NodeRegistry m_registry;
    Gossip m_gossip;
    FollowerSelection m_share;
    StoreReadTiming m_watch;
    WatchGroup m_group;
    ConfigPullScheduler m_pulls;
    ConfigPartAssembler m_fetch;
    ConfigPartServer m_copies;
    AnnouncedUpstream m_announced;
    FormerLeaves m_formerLeaves;
    ReadyProof m_readyProof;
    proto::NodeRecord m_record; ///< of this node, as last published
    bool m_isRebuildPending = false;
    bool m_isRelayPending = false;
    bool m_isContactOpening = false; ///< a link to a contact was opened a moment ago
    bool m_hasReadConfiguration = false;
    bool m_hasReadNodesSince = false; ///< since this life's record was written first
    bool m_isReadForFew = false; ///< the read of the nodes that is due was scheduled while few were known
    bool m_isFirstRest = false; ///< on standby after the first configuration
    bool m_startedWithoutConfiguration = false; ///< there was none in the store at the first read
    bool m_isStopping = false;
    ContactReachability m_reach;
    std::vector<std::unique_ptr<RecordWriter>> m_forgotten; ///< remove the records of lost nodes
    std::set<std::string> m_lostPeers; ///< addresses of links that have ended, until a message arrives
    Instant m_adopted {}; ///< when the configuration in force was
    Instant m_nextContact {};
    Instant m_restUntil {}; ///< until then this node stays on standby even if too few others follow
    Instant m_nextOverdueRead {};
    Instant m_drainLimit {};
    DrainEnd m_drainEnd { lingering };
    Timer m_rebuildTimer;
    Timer m_relayTimer;
    Timer m_publishAgain;
    Timer m_provisionalTimer;
    Timer m_configStartTimer; ///< set until the configuration is followed
    Timer m_acquittalTimer;
    Timer m_creditTimer;
    bool m_isAcquittalPending = false;
    bool m_isCrashNews = false; ///< crash records were merged and are not judged yet
    bool m_hasComparedRecords = false; ///< with a contact, in this life
    bool m_isComparing = false; ///< records that this node lacks were requested
    ReachEstimate m_reachEstimate;
    LenderSuccession m_succession;
    ContactReachability m_unreached; ///< contacts that are to be marked as unreachable
    bool m_isWriteHeld = true; ///< until what a former life of this node wrote has been read
    Timer m_tickTimer;
    Timer m_lameDuckTimer;
};

} // namespace robinrun
