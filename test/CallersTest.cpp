#include "support/ShopFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

/// \file Whose a call is: credentials of groups, given and taken away, through whole mesh nodes.

using namespace robinrun;
using support::MeshFixture;
using support::ShopFixture;

namespace {

/// \brief The names of the users' platform, for calls that are read without a node.
CallHeaders bearerNames()
{
    CallHeaders out;
    out.credential = "Authorization";
    out.credentialScheme = "Bearer";
    out.hasOptionalGroups = true;
    return out;
}

/// \returns a service `s` and a route of the host `h` to it, and room for \a groups more resources.
std::vector<proto::Resource> oneRoute(std::size_t groups)
{
    std::vector<proto::Resource> out(2 + groups);
    out[0].set_name("services/s");
    out[0].mutable_service()->set_deadline_ms(1000);
    out[1].set_name("routes/r");
    auto& route = *out[1].mutable_route();
    route.set_host("h");
    route.set_path_prefix("/");
    route.set_timeout_ms(1000);
    route.add_split()->set_service("s");
    route.mutable_split(0)->set_weight(1);
    return out;
}

/// \brief A configuration with two groups; \a keys are those of the group "first".
std::string withKeys(int version, const std::string& keys, const std::string& isOpen = "false")
{
    auto out = MeshFixture::configuration(version);
    const std::string head = "\"resources\":[";
    const std::string groups = R"({"type":"tenants","metadata":{"name":"first"},"spec":{"api_keys":[)" + keys
        + R"(],"priority":1}},{"type":"tenants","metadata":{"name":"second"},"spec":{"api_keys":["k-second"]}},)"
        + R"({"type":"routes","metadata":{"name":"check"},"spec":{"host":"a.example","path_prefix":"/check/",)"
        + R"("kind":"idempotent","timeout_ms":9000,"target_latency_ms":5000,"priority":1,"service":"shop",)"
        + R"("attempts":2,"no_auth":)" + isOpen + "}},";
    return out.insert(out.find(head) + head.size(), groups);
}

struct CallersFixture : ShopFixture {
    CallersFixture() { configure(20, R"("k-first")"); }

    void configure(int version, const std::string& keys, const std::string& isOpen = "false")
    {
        store.put("keyed.op", "config", withKeys(version, keys, isOpen));
        until([&] {
            pass(20ms);
            for (const auto& it : places) {
                const auto reply = send(it.settings.listen.metrics, { "GET", "/metrics", {}, "" });
                if (reply.body.find("robinrun_config_version " + std::to_string(version))
                    == std::string::npos)
                    return false;
            }
            return true;
        });
    }

    HttpReply callWith(const HttpHeaders& headers, const std::string& path = "/read/x", std::size_t i = 0)
    {
        auto out = request("GET", path);
        out.headers.insert(out.headers.end(), headers.begin(), headers.end());
        return send(places[i].settings.listen.callers, out);
    }

    int statusWith(const std::string& authorization)
    {
        return callWith({ { "Authorization", authorization } }).status;
    }

    const HttpRequest& lastRun() const
    {
        const auto& near = places[1].backend->requests;
        return near.back();
    }
};

std::vector<std::string> namesOf(const HttpRequest& request)
{
    std::vector<std::string> out;
    for (const auto& [name, value] : request.headers)
        out.push_back(name);
    return out;
}

} // namespace

TEST_CASE("A backend server gets the group's name and never the key", "[callers]")
{
    CallersFixture f;
    for (const auto* spelling :
        { "X-Robinrun-Tenant", "x-robinrun-tenant", "X_Robinrun_Tenant", "X-ROBINRUN_TENANT" }) {
        const auto reply = f.callWith({ { "authorization", "bearer   k-first" }, { spelling, "second" } });
        REQUIRE(reply.status == 200);
        const auto names = namesOf(f.lastRun());
        REQUIRE(std::count(names.begin(), names.end(), "X-Robinrun-Tenant") == 1);
        REQUIRE(findHeader(f.lastRun().headers, "X-Robinrun-Tenant") == "first");
        REQUIRE_FALSE(findHeader(f.lastRun().headers, "Authorization"));
        for (const auto& [name, value] : f.lastRun().headers) {
            REQUIRE(value != "second");
            REQUIRE(value.find("k-first") == std::string::npos);
        }
    }
    const auto metrics = f.send(f.places[0].settings.listen.metrics, { "GET", "/metrics", {}, "" }).body;
    REQUIRE(metrics.find("k-first") == std::string::npos);
    REQUIRE(metrics.find("group=\"first\"") != std::string::npos);
}

TEST_CASE("What names no group is turned away, whatever it looks like", "[callers]")
{
    CallersFixture f;
    const auto before = f.ran();
    REQUIRE(f.callWith({}).status == 401);
    REQUIRE(f.callWith({ { "X-Robinrun-Tenant", "first" } }).status == 401);
    for (const std::string it : { "", "Bearer", "Bearer ", "k-first", "Basic k-first", "Bearerk-first",
             "Bearer K-FIRST", "Bearer k-first, Bearer k-second", "Bearer \xc3\xa4\xff" })
        REQUIRE(f.statusWith(it) == 401);
    REQUIRE(f.statusWith("Bearer " + std::string(8192, 'k')) == 401);
    REQUIRE(
        f.callWith({ { "Authorization", "Bearer k-first" }, { "authorization", "Bearer k-first" } }).status
        == 400);
    REQUIRE(f.callWith({ { "Authorization", "Bearer k-first" } }, "/nowhere/").status == 404);
    REQUIRE(f.ran() == before);
}

TEST_CASE("Open routes serve those without a key, and know those that have one", "[callers]")
{
    CallersFixture f;
    f.configure(21, R"("k-first")", "true");
    REQUIRE(f.callWith({}, "/check/x").status == 200);
    REQUIRE_FALSE(findHeader(f.lastRun().headers, "X-Robinrun-Tenant"));
    REQUIRE(f.callWith({ { "Authorization", "Bearer wrong" } }, "/check/x").status == 200);
    REQUIRE_FALSE(findHeader(f.lastRun().headers, "X-Robinrun-Tenant"));
    REQUIRE(f.callWith({ { "Authorization", "Bearer k-second" } }, "/check/x").status == 200);
    REQUIRE(findHeader(f.lastRun().headers, "X-Robinrun-Tenant") == "second");
    REQUIRE(f.callWith({}).status == 401);
}

TEST_CASE("A call made for one that runs carries that one's name, and only while it runs", "[callers]")
{
    CallersFixture f;
    auto& own = f.places[1];
    own.backend->holds = true;
    auto parent = f.request("GET", "/read/x");
    parent.headers.emplace_back("Authorization", "Bearer k-first");
    f.start(own.settings.listen.callers, parent);
    f.until([&] { return own.backend->held.size() == 1; });
    own.backend->holds = false;
    const auto running = std::move(f.callers.back());
    f.callers.pop_back();
    auto nested = f.request("GET", "/read/y");
    nested.headers[1].second = parent.headers[1].second + ".1";
    REQUIRE(f.send(own.settings.listen.callers, nested).status == 200);
    const auto& ranAt = f.places[1].backend->requests.back().target == "/read/y" ? f.places[1] : f.places[2];
    REQUIRE(findHeader(ranAt.backend->requests.back().headers, "X-Robinrun-Tenant") == "first");
    // Another host doesn't run it, and after its end nobody does.
    REQUIRE(f.send(f.places[2].settings.listen.callers, nested).status == 401);
    f.reply.reset();
    own.backend->answer(0);
    f.until([&] { return f.reply.has_value(); });
    REQUIRE(f.send(own.settings.listen.callers, nested).status == 401);
}

TEST_CASE("Keys are taken away, given back and moved with versions", "[callers]")
{
    CallersFixture f;
    f.configure(21, R"("k-other")");
    REQUIRE(f.statusWith("Bearer k-first") == 401);
    REQUIRE(f.statusWith("Bearer k-other") == 200);
    f.configure(22, R"("k-other","k-first")");
    REQUIRE(f.statusWith("Bearer k-first") == 200);
    f.configure(23, "");
    REQUIRE(f.statusWith("Bearer k-first") == 401);
    REQUIRE(f.statusWith("Bearer k-second") == 200);
    f.configure(24, R"("k-second")"); // of two groups: it names neither
    REQUIRE(f.statusWith("Bearer k-second") == 401);
    f.configure(25, R"("k-first")");
    REQUIRE(f.statusWith("Bearer k-second") == 200);
}

TEST_CASE("A call is not sent a second time once its key is taken away", "[callers]")
{
    for (const bool isTakenAway : { false, true }) {
        CallersFixture f;
        auto& near = *f.places[1].backend;
        near.holds = true;
        auto request = f.request("GET", "/read/x");
        request.headers.emplace_back("Authorization", "Bearer k-first");
        f.start(f.places[0].settings.listen.callers, request);
        f.until([&] { return near.held.size() == 1; });
        const auto running = std::move(f.callers.back());
        f.callers.pop_back();
        f.configure(21, isTakenAway ? "" : R"("k-first")");
        f.reply.reset();
        near.crash();
        f.until([&] { return f.reply.has_value(); });
        REQUIRE(f.reply->status == (isTakenAway ? 504 : 200));
        const auto& elsewhere = f.places[2].backend->requests;
        const bool ranElsewhere = std::any_of(elsewhere.begin(), elsewhere.end(), [&](const auto& it) {
            return findHeader(it.headers, "X-Robinrun-Request-Id") == request.headers[1].second;
        });
        REQUIRE(ranElsewhere == !isTakenAway);
    }
}

TEST_CASE("No call runs in a name that its key never had, over any order of versions", "[callers]")
{
    rc::prop("versions and calls", [] {
        Directory directory;
        WeightedRoundRobin turns(1);
        const auto names = bearerNames();
        const auto owners = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(-1, 4));
        for (const auto owner : owners) {
            auto resources = oneRoute(4);
            for (int i = 0; i < 4; ++i) {
                auto& group = resources[2 + static_cast<std::size_t>(i)];
                group.set_name("groups/g" + std::to_string(i));
                group.mutable_group()->set_credential_sha256(sha256Hex("own" + std::to_string(i)));
                if (owner == i)
                    group.mutable_group()->add_more_credentials_sha256(sha256Hex("moves"));
            }
            directory.rebuild(resources);
            const HttpRequest request { "GET", "/x",
                { { "Host", "h" }, { "Authorization", "Bearer moves" }, { "X-Robinrun-Tenant", "g0" } }, "" };
            const auto parsed = CallRequest::parse(request, directory, names, turns);
            RC_ASSERT(parsed.has_value() == (owner >= 0));
            if (parsed)
                RC_ASSERT(parsed.value().group == "g" + std::to_string(owner));
            else
                RC_ASSERT(parsed.error().status == 401);
        }
    });
}

TEST_CASE(
    "Without a fresh proof a strict node refuses keys as not run, another one only unknown ones", "[callers]")
{
    CallersFixture f;
    const auto proofOf = [](bool isStrict, bool isProven, const std::string& key) {
        Directory directory;
        auto resources = oneRoute(1);
        resources[2].set_name("groups/g");
        resources[2].mutable_group()->set_credential_sha256(sha256Hex("k"));
        directory.rebuild(resources);
        WeightedRoundRobin turns(1);
        const auto names = bearerNames();
        CallerContext caller;
        caller.isStrict = isStrict;
        caller.isConfigProven = isProven;
        const HttpRequest request { "GET", "/x", { { "Host", "h" }, { "Authorization", "Bearer " + key } },
            "" };
        const auto parsed = CallRequest::parse(request, directory, names, turns, caller);
        return parsed ? 200 : parsed.error().status;
    };
    REQUIRE(proofOf(false, true, "k") == 200);
    REQUIRE(proofOf(false, false, "k") == 200);
    REQUIRE(proofOf(true, true, "k") == 200);
    REQUIRE(proofOf(true, false, "k") == 503);
    REQUIRE(proofOf(false, true, "x") == 401);
    REQUIRE(proofOf(false, false, "x") == 503);
    REQUIRE(proofOf(true, false, "x") == 503);
    // Through a node: the store falls silent, and nobody confirms the configuration any more.
    f.places[0].settings.credentials = { true, 300ms };
    f.places[0].node.reset();
    f.startNode(0);
    f.until([&] { return f.statusWith("Bearer k-first") == 200; });
    f.store.mode = support::FakeStore::Mode::Silent;
    f.until([&] { return f.statusWith("Bearer k-first") == 503; });
    const auto refused = f.callWith({ { "Authorization", "Bearer k-first" } });
    REQUIRE(findHeader(refused.headers, "Retry-After"));
    REQUIRE(findHeader(refused.headers, "Robinrun-Reason") == "credential-unproven");
    f.store.mode = support::FakeStore::Mode::Up;
    f.until([&] { return f.statusWith("Bearer k-first") == 200; });
}
