#pragma once

#include "Core/Result.h"
#include "Http/HttpServer.h"
#include "Node/ClaimService.h"
#include "Node/ControlPlane.h"
#include "Node/DrainEnd.h"
#include "Node/Ingress.h"
#include "Node/LeavingNews.h"
#include "Node/NodeContext.h"
#include "Node/OperatorApi.h"
#include "Node/Owner.h"
#include "Node/Timer.h"
#include "Platform/AppendLog.h"
#include "Platform/HostList.h"
#include "Wire/PeerSocket.h"

#include <memory>
#include <string>

namespace robinrun {

/// \brief One node: ingress for callers, owner of the backend server beside it, and its part in control.
///
/// It lives on the given loop; all of it runs there, on one thread.
class Node {
public:
    /// \brief Binds all ports and starts. The error is a sentence for the operator.
    static Result<std::unique_ptr<Node>, std::string> start(
        event_base* base, NodeSettings settings, Charts charts, std::uint64_t incarnation);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /// \brief Stops in order: announces leaving, refuses new work, ends what is in flight, then ends the
    /// loop.
    void stop();

    NodeState state() const { return m_state; }

private:
    Node(event_base* base, NodeSettings settings, Charts charts, std::uint64_t incarnation);
    Result<void, std::string> bind();
    void onMessage(const PeerSocket::Sender& sender, proto::PeerMessage& message);
    void takeClaim(const PeerSocket::Sender& sender, const proto::ClaimRequest& request, Instant now);
    void configurationChanged();
    void applyChanges();
    void tickFast();
    void tickSlow();
    void step(NodeEvent event);
    /// \brief Ends the draining node if nothing is left to do, or its time is over.
    void endIfDone(Instant now);
    void addGauges();
    NodeFacts facts() const;
    SendToPeer sender();

    /// Callers' connections stay open this long after the last call of a drain, for those who send one more.
    static constexpr Duration lingering = 300ms;

    NodeContext m_context;
    NodeState m_state;
    std::unique_ptr<PeerSocket> m_peers;
    std::unique_ptr<AppendLog> m_log;
    std::unique_ptr<HostList> m_hosts;
    std::unique_ptr<ControlPlane> m_control;
    std::unique_ptr<LeavingNews> m_news;
    std::unique_ptr<Owner> m_owner;
    std::unique_ptr<ClaimService> m_claims;
    std::unique_ptr<Ingress> m_ingress;
    std::unique_ptr<OperatorApi> m_api;
    std::unique_ptr<HttpServer> m_callers;
    std::unique_ptr<HttpServer> m_operators;
    Timer m_fast;
    Timer m_slow;
    Timer m_changes;
    bool m_isChangePending = false;
    Duration m_lastRebuild {};
    DrainEnd m_drainEnd { lingering };
};

} // namespace robinrun
