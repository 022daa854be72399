#pragma once

#include "Core/Hash.h"
#include "Http/HttpPool.h"
#include "Http/HttpServer.h"
#include "Node/ClaimService.h"
#include "Node/Ingress.h"
#include "Node/Owner.h"
#include "support/NodeFixture.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace robinrun::support {

/// \returns the name of the node at which the upstream of \a call is.
inline std::string hostOf(const proto::Call& call)
{
    return "host-" + call.upstream();
}

/// \brief An ingress with a caller in front of it and the test as its peers.
struct IngressFixture : NodeFixture {
    Owner owner { context, monotonicNow() };
    ClaimService claims { context, log, members, sender(), monotonicNow() };
    Ingress ingress { context, owner, &claims, &members, sender() };
    std::string address = freeAddress();
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpPool> caller;
    std::optional<HttpReply> reply;
    Duration ahead {}; ///< of the real time, the time at which requests come

    /// \param kind how upstreams are chosen: a router keeps to the kind it was made with.
    explicit IngressFixture(ChoicePolicyKind kind = ChoicePolicyKind::ExpectedDelay)
    {
        context.settings.choice.kind = kind;
        ingress.configure(monotonicNow());
        server
            = std::move(HttpServer::listen(base.get(), { address, 1000, 10000, 10s }, [this](auto exchange) {
                  ingress.take(std::move(exchange), monotonicNow() + ahead);
              }).value());
        HttpPool::Options options;
        options.address = address;
        caller = std::make_unique<HttpPool>(base.get(), options);
    }

    /// \brief Sends a request and waits for the call that the ingress makes of it.
    proto::Call call(const std::string& path, HttpHeaders headers = {})
    {
        reply.reset();
        headers.emplace_back("Robinrun-Credential", secret);
        caller->send(
            { "GET", path, std::move(headers), {} }, 9s, [this](auto result) { reply = result.value(); });
        return nextCall();
    }

    proto::Call nextCall()
    {
        REQUIRE(runUntil(base.get(), [&] { return (!sent.empty() && sent.front().has_call()) || reply; }));
        REQUIRE(!sent.empty());
        auto out = sent.front().call();
        sent.pop_front();
        return out;
    }

    static proto::Answer answerTo(
        const proto::Call& call, proto::Outcome outcome, const std::string& body = "")
    {
        proto::Answer out;
        out.set_number(call.number());
        out.set_caller_incarnation(77);
        out.set_incarnation(5);
        out.set_outcome(outcome);
        out.set_status(outcome == proto::ANSWERED ? 200 : 0);
        out.set_body(body);
        out.set_body_length(body.size());
        out.set_body_hash(hash64(body));
        return out;
    }

    void give(const std::string& node, proto::Answer answer)
    {
        ingress.takeAnswer(node, answer, monotonicNow() + ahead);
    }

    std::string outcome()
    {
        REQUIRE(runUntil(base.get(), [&] { return reply.has_value(); }));
        return std::string(findHeader(reply->headers, "Robinrun-Outcome").value_or("none"));
    }
};

} // namespace robinrun::support
