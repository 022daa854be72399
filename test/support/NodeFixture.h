#pragma once

#include "Control/Membership.h"
#include "Core/Hash.h"
#include "FakeLog.h"
#include "Loopback.h"
#include "Node/NodeContext.h"
#include "Node/PeerLinks.h"

#include <deque>
#include <string>

namespace robinrun::support {

inline const std::string secret = "secret";
inline const std::string charts = std::string(SOURCE_FOLDER) + "/charts";

inline std::string put(proto::Resource resource)
{
    proto::ChangeRecord change;
    change.set_id(resource.name());
    *change.mutable_put() = std::move(resource);
    return change.SerializeAsString();
}

/// \brief One service with upstreams u1 and u2, a class that must not repeat, and a group.
inline ConfigState exampleConfig(const std::string& backend)
{
    ConfigState config;
    proto::Resource service;
    service.set_name("services/s");
    service.mutable_service()->set_deadline_ms(3000);
    service.mutable_service()->set_queue_limit(10);
    service.mutable_service()->set_retry_fraction(0.5);
    auto& once = *service.mutable_service()->add_classes();
    once.set_name("buy");
    once.set_path_prefix("/buy");
    once.set_once(proto::SINGLE_DISPATCH);
    config.apply(put(service));
    for (const std::string id : { "u1", "u2" }) {
        proto::Resource upstream;
        upstream.set_name("upstreams/" + id);
        auto& it = *upstream.mutable_upstream();
        it.set_service("s");
        it.set_address(backend);
        it.set_node_address(id == "u1" ? "10.0.0.1:1" : "10.0.0.2:1");
        it.set_host("host-" + id);
        it.set_data_hall("h");
        it.set_region("r");
        it.set_slots(1);
        it.set_connections(5);
        config.apply(put(upstream));
    }
    proto::Resource group;
    group.set_name("groups/g");
    group.mutable_group()->set_credential_sha256(sha256Hex(secret));
    config.apply(put(group));
    return config;
}

/// \brief What an ingress or an owner needs around it; messages to peers are kept.
struct NodeFixture {
    LoopPtr base = makeLoop();
    std::string backend = freeAddress();
    NodeContext context;
    Membership members { Membership::Options {} };
    VirtualLoop unusedLoop;
    FakeLog log { unusedLoop, 1, {} };
    std::deque<proto::PeerMessage> sent;
    bool isReachable = true; ///< whether messages to peers go out
    SendResult whenNot = SendResult::Unreachable; ///< what becomes of them otherwise

    explicit NodeFixture(const std::string& ownUpstream = "")
        : context { {}, Charts::load(charts).value(), base.get(), 77, {}, {}, Random(1), monotonicNow,
            wallClockMs }
    {
        auto& settings = context.settings;
        settings.name = "self";
        settings.upstream = ownUpstream;
        settings.limits.calls = 100;
        settings.limits.ticketMemory = 100000;
        settings.choice.subset = 10;
        settings.choice.attemptTimeout = 10s;
        settings.choice.kind = ChoicePolicyKind::ExpectedDelay;
        settings.claims.partitions = 1;
        settings.claims.appendsPerSecond = 10;
        settings.claims.decideWithin = 1s;
        settings.claims.keyLifetime = 600s;
        context.directory.rebuild(exampleConfig(backend));
    }

    SendToPeer sender()
    {
        return [this](const std::string&, proto::PeerMessage& message, Instant) {
            if (!isReachable)
                return whenNot;
            sent.push_back(message);
            return SendResult::Sent;
        };
    }
};

} // namespace robinrun::support
