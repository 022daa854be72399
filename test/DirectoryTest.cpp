#include "Node/Directory.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <string>
#include <vector>

/// \file The configuration as calls look it up, rebuilt as a whole or by its upstreams alone.

using namespace robinrun;

namespace {

proto::Resource service(const std::string& id)
{
    proto::Resource out;
    out.set_name("services/" + id);
    out.mutable_service()->set_deadline_ms(1000);
    return out;
}

proto::Resource route(const std::string& id, const std::string& prefix)
{
    proto::Resource out;
    out.set_name("routes/" + id);
    out.mutable_route()->set_host("a.example");
    out.mutable_route()->set_path_prefix(prefix);
    return out;
}

proto::Resource upstream(const std::string& id, const std::string& serviceId)
{
    proto::Resource out;
    out.set_name("upstreams/" + id);
    out.mutable_upstream()->set_service(serviceId);
    return out;
}

std::vector<std::string> upstreamsOf(const Directory& directory, const std::string& id)
{
    std::vector<std::string> out;
    for (const auto& it : directory.service(id)->upstreams)
        out.push_back(it.id);
    return out;
}

} // namespace

TEST_CASE("Upstreams are replaced without the rest of the directory", "[node]")
{
    Directory directory;
    directory.rebuild(std::vector {
        service("s"), service("t"), route("r", "/a/"), upstream("u1", "s"), upstream("u2", "t") });
    const auto* before = directory.service("s");
    directory.replaceUpstreams(
        std::vector { upstream("u3", "s"), upstream("u4", "s"), upstream("u5", "none") });
    REQUIRE(directory.service("s") == before); // what calls in progress hold stays
    REQUIRE(upstreamsOf(directory, "s") == std::vector<std::string> { "u3", "u4" });
    REQUIRE(upstreamsOf(directory, "t").empty());
    REQUIRE(directory.upstream("u4"));
    REQUIRE_FALSE(directory.upstream("u1"));
    REQUIRE(directory.route("a.example", "/a/b")->callClass.name == "r");
}

TEST_CASE("The longest prefix wins in whatever order routes come; of equal ones the first", "[node]")
{
    rc::prop("order", [] {
        std::vector<proto::Resource> resources { route("first", "/p/"), route("second", "/p/") };
        const auto depth = *rc::gen::inRange(1, 30);
        std::string prefix = "/p/";
        for (int i = 0; i < depth; ++i) {
            prefix += "x/";
            const auto at = *rc::gen::inRange<std::size_t>(0, resources.size() + 1);
            resources.insert(
                resources.begin() + static_cast<std::ptrdiff_t>(at), route(std::to_string(i), prefix));
        }
        Directory directory;
        directory.rebuild(resources);
        std::string path = "/p/";
        RC_ASSERT(directory.route("a.example", path + "y")->callClass.name == "first");
        for (int i = 0; i < depth; ++i) {
            path += "x/";
            RC_ASSERT(directory.route("a.example", path + "y")->callClass.name == std::to_string(i));
        }
        RC_ASSERT(!directory.route("a.example", "/q/"));
        RC_ASSERT(!directory.route("b.example", "/p/"));
    });
}
