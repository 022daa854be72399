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
#include "Mesh/Gossip.h"
#include "Mesh/MeshFormats.h"
#include "Mesh/NodeRegistry.h"
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
/// It plays the same parts as Node, ingress and owner, without a host list and without a log of changes: the
/// configuration is one record of the store, each node writes one record of itself there, and peers tell each
/// other both, so that a node which the store turns away works on.
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
    void tellLoad(const std::string& address, proto::LoadNews& news);
    Result<void, std::string> bindServers();
    void startFeeds();
    void addGauges();
    void addCallerGauges();
    void addBackendGauges();
    template <class Calls> void addStoreGauges(const std::string& kind, const Calls& calls);

    void takeMessage(const PeerSocket::Sender& sender, proto::PeerMessage& message);
    void takeContact(const PeerSocket::Sender& sender, const proto::NodeContact& contact, Instant now);
    void takeRecords(const PeerSocket::Sender& sender, const proto::NodeRecords& records, Instant now);
    void takeSummaries(
        const PeerSocket::Sender& sender, const proto::RecordSummaries& summaries, Instant now);
    /// \returns the names of the nodes in regular contact.
    std::vector<std::string> contacts() const;
    /// \returns whether it was news.
    bool takeRecord(const proto::NodeRecord& record, Instant now);
    void takePartRequest(
        const PeerSocket::Sender& sender, const proto::ConfigPartRequest& request, Instant now);
    void takePart(const PeerSocket::Sender& sender, const proto::ConfigPart& part, Instant now);
    /// \brief The copy that was fetched is whole.
    void takeCopy(const std::string& source, Instant now);
    proto::PeerMessage partRequest() const;
    void takeStoredNode(const KeyedRecord& stored, Instant now);
    /// \returns what a record of the store says of its node; nothing if it is malformed or says nothing new.
    std::optional<proto::NodeRecord> readStoredNode(const KeyedRecord& stored);
    /// \brief Counts and logs what no part of this deployment can have written.
    /// \param kind of entry. \param what names it. \param fault with the field.
    void noteForeign(std::string_view kind, std::string_view what, std::string_view fault);
    bool takeOwnRecord(const proto::NodeRecord& record, Instant now);
    /// \brief A former life of this node seems to be later, since the clock went back: makes this one's
    /// records count as later ones.
    void outrank(const proto::NodeRecord& former, Instant now);
    /// \returns whether \a node, or this start of it, is not known yet.
    bool isNewLife(const std::string& node, std::uint64_t incarnation) const;

    /// \brief A crash beside this node: all nodes hear of it, and the store keeps it.
    void tellCrash(const proto::CrashReport& report);
    /// \brief A good end beside this node has cleared strikes: all nodes hear of it in a moment.
    void tellAcquittal(const proto::CrashAcquittal& acquittal);
    /// \brief Crashes that a former life of this node has told of are told on by this one.
    void keepFormerCrashes(const proto::NodeRecord& former, Instant now);
    /// \brief Something may have been heard of crashes elsewhere: once it has, calls are taken and the node's
    /// own record is written.
    void heardOfCrashes(Instant now);

    /// \brief Applies the orders of roll-outs in a page of the configuration topic.
    void applyStoredRollouts(const KeyedPage& page, Instant now);
    void takeRolloutRecords(const proto::RolloutRecords& records, Instant now);
    /// \brief Applies the state of the roll-outs to the choice of servers and sends it to the contacts.
    void rolloutsChanged(Instant now);
    void sendRollouts(Instant now);
    /// \brief Sends all known roll-outs to a contact that knows others.
    void compareRollouts(const PeerSocket::Sender& sender, const proto::NodeContact& contact, Instant now);
    /// \brief This node knows the roll-outs from the store or a contact: it may take calls.
    void rolloutsHeard(Instant now);
    /// \returns the first \a n of the nodes that are not known to be lost, in the order in which they judge
    /// the roll-out and write its status. Cost: O(nodes).
    std::vector<std::string> rankedNodes(std::uint64_t rollout, std::size_t n) const;
    void reportOwnVersion(Instant now);
    void takeVersionReport(const proto::VersionReport& report, Instant now);
    RolloutBounds rolloutBounds() const;
    std::vector<RolloutJudge::Server> serversOf(const std::string& service) const;
    void judgeRollouts(Instant now);
    /// \brief Writes the status of roll-outs where it is this node's turn.
    void writeRolloutStatus(Instant now);
    /// \returns whether this node writes a status that has been due for \a pending, by its rank.
    bool isWriter(std::uint64_t rollout, Duration pending) const;
    void rolloutStatusWritten(std::uint64_t id, RolloutOutcome outcome, Instant now);
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
    void takeAnnouncement(HttpExchange& exchange);
    void upstreamChanged(Instant now);

    void offerConfiguration(std::string_view text, std::string_view source, Instant now);
    void takeStoredConfiguration(const KeyedPage& page, Instant now);
    /// \brief Halls were emptied or taken back: routing hears of it now, and the contacts.
    void hallsChanged(Instant now);
    /// \brief The store is back from an older copy: what this node wrote there may be gone.
    void storeReturned(Instant now);
    /// \returns a share of the time in which all nodes may write at once, within the store's rates.
    Duration rewriteDelay();
    /// \brief Puts the configuration that was adopted just now in force. \param former in force before.
    void configurationAdopted(ConfigVersionText former, Instant now);
    /// \returns whether others watch the store for this node.
    bool isWatched(Instant now) const
    {
        return m_group.isMember() ? m_share.mayStandBy(now) : m_group.mayStandBy(now);
    }
    /// \brief What a contact says of how fresh its configuration is.
    void takeConfirmation(const proto::NodeContact& contact, Instant now);
    /// \brief Tells the other members of the watch, who are no contacts of each other, what contacts are
    /// told.
    void tellWatchGroup(const proto::NodeContact& contact, Instant now);
    /// \brief Ends the rest from following the configuration if too few others follow it.
    void followIfNeeded(Instant now);
    /// \brief Asks a peer for a newer configuration, if it is time.
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
    /// \brief Tells the contacts this node's record, and leaves the store as it is.
    void tellRecord(Instant now);
    void tellContacts(Instant now);
    void sendToContact(const std::string& address, proto::PeerMessage& message, Instant now);
    /// \brief Contacts that could not be reached for long are marked gone, here, at the peers and in the
    /// store. One that lives after all says so when it hears of it.
    void forgetLost(Instant now);
    /// \brief Passes on in a moment what the gossip has kept for that.
    void relaySoon();
    /// \returns what answers \a sender along the link that its message came by.
    Gossip::ReplyFunction replyTo(const PeerSocket::Sender& sender, Instant now);
    /// \returns how long to wait until the nodes' topic is read again.
    Duration nodesPause();
    /// \brief Begins to follow the configuration, once the nodes are known or the store has not told them in
    /// time. Does nothing if that has begun.
    void startConfigFeed(Instant now);
    /// \returns whether so many nodes are known that some of them tell this one what it lacks.
    bool knowsManyNodes() const;
    /// \returns how many nodes are known that are not gone. Cost: O(nodes).
    std::size_t livingNodes() const;

    RateTolerance rateTerms() const;
    bool sendToNode(const std::string& node, proto::PeerMessage& message, Instant now);
    /// \brief Brings the rates of the configuration in force into the keeping of rates.
    void setRates();
    /// \brief Brings the nodes that are known there: each change of a node's record does.
    void setLenders();
    /// \brief Asks that could not go out while links were being opened are sent in a moment.
    void askForCreditsSoon();
    /// \returns the part of the nodes that can be reached, as far as the contacts show. What other data halls
    /// are concerned, the bridges tell it to the contacts of their own hall.
    double reach(Instant now) const;
    /// \returns the part of the contacts in other data halls that can be reached; nothing without any.
    std::optional<double> ownFarReach() const;
    /// \returns the part of \a names whose links are not known to be lost; nothing without any.
    std::optional<double> reachOf(const std::vector<std::string>& names) const;
    void takeCreditAsk(const PeerSocket::Sender& sender, const proto::CreditAsk& ask, Instant now);

    void tick();
    /// \brief Notes whether the configuration is proven to be new enough for credentials to rest on.
    void noteProof(Instant now);
    void noteStandstill();
    void step(NodeEvent event);
    void beginLeaving();
    /// \brief Ends the draining node if nothing is left to do, or its time is over.
    void endIfDone(Instant now);

    /// After its last call is answered a stopping node waits so long for another one on its way.
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
    proto::NodeRecord m_record; ///< of this node, as last published
    bool m_isRebuildPending = false;
    bool m_isRelayPending = false;
    bool m_isContactOpening = false; ///< a link to a contact was opened a moment ago
    bool m_hasReadConfiguration = false;
    bool m_hasReadNodesSince = false; ///< since this life's record was written first
    bool m_isReadingForOthers = false; ///< the read that is due is for nodes that started at the same time
    bool m_isStopping = false;
    ContactReachability m_reach;
    std::vector<std::unique_ptr<RecordWriter>> m_forgotten; ///< they take away the records of lost nodes
    std::set<std::string> m_lostPeers; ///< addresses of links that have ended and were not heard since
    Instant m_adopted {}; ///< when the configuration in force was
    Instant m_nextContact {};
    Instant m_restUntil {}; ///< from following the configuration, though too few others do
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
    bool m_isCrashNews = false; ///< some was taken in and is not judged yet
    bool m_hasComparedRecords = false; ///< with a contact, in this life
    bool m_isComparing = false; ///< records that this node lacks were requested
    struct FarReach {
        double part = 0;
        Instant heardAt {};
    };
    std::map<std::string, FarReach> m_farReach; ///< by bridge of the own data hall
    bool m_isWriteHeld = true; ///< until what a former life of this node wrote has been read
    Timer m_tickTimer;
    Timer m_lameDuckTimer;
};

} // namespace robinrun
