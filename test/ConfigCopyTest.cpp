#include "Mesh/ConfigPartAssembler.h"
#include "Mesh/ConfigPartServer.h"
#include "Mesh/ConfigPullScheduler.h"
#include "Wire/DeltaCodec.h"
#include "support/MeshFixture.h"
#include "support/Noise.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <string>

using namespace robinrun;
using support::MeshFixture;
using support::noise;

namespace {

constexpr std::size_t manyRoutes = 2800;

/// \brief A node that sends its configuration to peers and fetches theirs.
struct ConfigNode {
    ConfigVersionText own;
    ConfigPartServer partServer;
    ConfigPartAssembler partAssembler;

    void adopt(ConfigVersionText text)
    {
        if (own.version)
            partServer.addFormerText(own);
        own = std::move(text);
        partAssembler.onAdopted();
    }

    proto::ConfigPartRequest request() const { return partAssembler.makeRequest(own.version, own.text); }
    std::optional<proto::ConfigPart> answer(const proto::ConfigPartRequest& request)
    {
        return partServer.answer(request, own.version, own.text);
    }
};

struct TransferResult {
    std::size_t parts = 0;
    std::size_t bytes = 0; ///< of all parts, including lost ones
    std::string text; ///< the received text; "" if the copy is incomplete
};

/// \brief Lets \a to request parts from \a from until the copy is complete or there is no answer.
/// \param from the node that sends the parts.
/// \param to the node that requests them.
/// \param maxParts number of parts after which the link closes.
/// \returns the transferred parts and the text.
TransferResult transfer(ConfigNode& from, ConfigNode& to, std::size_t maxParts = 1000)
{
    TransferResult out;
    while (out.parts < maxParts) {
        const auto part = from.answer(to.request());
        if (!part)
            return out;
        ++out.parts;
        out.bytes += part->data().size();
        if (to.partAssembler.addPart(*part, to.own.version) != ConfigPartAssembler::PartResult::Complete)
            continue;
        const auto text = to.partAssembler.decodeCopy(to.own.text);
        if (text)
            out.text = text.value();
        return out;
    }
    return out;
}

} // namespace

TEST_CASE("A compressed text can be decoded only with its base", "[mesh]")
{
    rc::prop("round trip", [](const std::string& text, const std::string& baseText) {
        const auto encoded = encodeDelta(text, baseText);
        RC_ASSERT(decodeDelta(encoded, baseText, text.size()).value() == text);
    });
    const auto baseText = noise(5000, 1);
    const auto text = baseText + noise(100, 2);
    const auto encoded = encodeDelta(text, baseText);
    REQUIRE(encoded.size() < 500);
    REQUIRE_FALSE(decodeDelta(encoded, noise(5000, 3), text.size()));
    REQUIRE_FALSE(decodeDelta(encoded, "", text.size()));
    REQUIRE_FALSE(decodeDelta(encoded, baseText, text.size() - 1));
    REQUIRE_FALSE(decodeDelta(encoded.substr(0, encoded.size() - 1), baseText, text.size()));
    REQUIRE_FALSE(decodeDelta("{\"version\":\"r1\"}", "", 1000));
    REQUIRE_FALSE(decodeDelta("", "", 1000));
}

TEST_CASE("The transfer of a change of one route does not grow with the number of routes", "[mesh]")
{
    ConfigNode from;
    from.adopt({ 6, MeshFixture::largeConfiguration(6, manyRoutes) });
    ConfigNode former;
    former.adopt(from.own);
    from.adopt({ 7, MeshFixture::largeConfiguration(7, manyRoutes + 1) });
    const auto difference = transfer(from, former);
    REQUIRE(difference.text == from.own.text);
    REQUIRE(difference.bytes < 1000);

    ConfigNode fresh;
    const auto whole = transfer(from, fresh);
    REQUIRE(whole.text == from.own.text);
    REQUIRE(whole.bytes < from.own.text.size() / 5);
    // A part occupies a link of 10 Mbit/s only for a short time.
    REQUIRE(whole.parts >= whole.bytes / ConfigPartServer::Options {}.maxPartBytes);
}

TEST_CASE("An interrupted transfer continues with the missing parts, also from another peer", "[mesh]")
{
    ConfigNode first;
    first.adopt({ 7, noise(100000, 1) });
    ConfigNode second;
    second.adopt(first.own);
    ConfigNode asker;
    const auto begun = transfer(first, asker, 2);
    REQUIRE(begun.text.empty());
    const auto rest = transfer(second, asker);
    REQUIRE(rest.text == first.own.text);
    ConfigNode other;
    REQUIRE(begun.bytes + rest.bytes == transfer(first, other).bytes);
}

TEST_CASE("A transfer that has started is completed while newer versions arrive", "[mesh]")
{
    ConfigNode from;
    from.adopt({ 7, noise(100000, 1) });
    ConfigNode asker;
    std::string text;
    for (std::uint64_t version = 8; version < 20 && text.empty(); ++version) {
        text = transfer(from, asker, 1).text;
        from.adopt({ version, from.own.text + noise(100, version) });
    }
    REQUIRE(text == noise(100000, 1));
    asker.adopt({ 7, text });
    REQUIRE(transfer(from, asker).text == from.own.text);
}

TEST_CASE("Parts that do not continue the received bytes are ignored", "[mesh]")
{
    ConfigNode from;
    from.adopt({ 7, noise(100000, 1) });
    ConfigNode asker;
    const auto first = from.answer(asker.request());
    REQUIRE(asker.partAssembler.addPart(*first, 0) == ConfigPartAssembler::PartResult::Incomplete);
    const auto second = from.answer(asker.request());
    REQUIRE(
        asker.partAssembler.addPart(*first, 0) == ConfigPartAssembler::PartResult::Ignored); // a duplicate
    REQUIRE(asker.partAssembler.addPart(*second, 0) == ConfigPartAssembler::PartResult::Incomplete);
    REQUIRE(asker.partAssembler.addPart(*second, 0) == ConfigPartAssembler::PartResult::Ignored);
    REQUIRE(asker.partAssembler.addPart(*second, 7)
        == ConfigPartAssembler::PartResult::Ignored); // the version is already in force
    auto bad = *first;
    bad.set_copy_bytes(ConfigPartAssembler::maxTextBytes + 1);
    REQUIRE(asker.partAssembler.addPart(bad, 0) == ConfigPartAssembler::PartResult::Ignored);
    bad = *first;
    bad.clear_data();
    REQUIRE(asker.partAssembler.addPart(bad, 0) == ConfigPartAssembler::PartResult::Ignored);
    bad = *first;
    bad.set_base_version(6); // a version that is not in force here
    REQUIRE(asker.partAssembler.addPart(bad, 5) == ConfigPartAssembler::PartResult::Ignored);
    REQUIRE(transfer(from, asker).text == from.own.text);
}

TEST_CASE("After a difference that cannot be decoded a full copy is requested", "[mesh]")
{
    ConfigNode from;
    from.adopt({ 6, noise(20000, 1) });
    ConfigNode asker;
    asker.adopt(from.own);
    from.adopt({ 7, from.own.text + "more" });
    const auto request = asker.request();
    asker.own.text[0] = '?'; // corrupts the base text
    const auto part = from.answer(request);
    REQUIRE(part->base_version() == 6);
    REQUIRE(asker.partAssembler.addPart(*part, 6) == ConfigPartAssembler::PartResult::Complete);
    REQUIRE_FALSE(asker.partAssembler.decodeCopy(asker.own.text));
    REQUIRE(asker.request().own_version() == 0);
    REQUIRE(transfer(from, asker).text == from.own.text);
    asker.adopt(from.own);
    REQUIRE(asker.request().own_version() == 7);
}

TEST_CASE("The size of former texts is bounded, and without a matching one a full copy is sent", "[mesh]")
{
    ConfigNode from;
    from.adopt({ 1, noise(20000, 1) });
    ConfigNode asker;
    asker.adopt(from.own);
    from.adopt({ 2, from.own.text + "more" });
    REQUIRE(from.answer(asker.request())->base_version() == 1);
    ConfigNode withOtherText;
    withOtherText.adopt({ 1, noise(20000, 2) }); // the same version with another text
    REQUIRE(from.answer(withOtherText.request())->base_version() == 0);
    const auto n = ConfigPartServer::Options {}.maxFormerTextBytes;
    from.adopt({ 3, noise(n, 3) });
    from.adopt({ 4, noise(n, 4) });
    REQUIRE(from.answer(asker.request())->base_version() == 0);
    ConfigNode latest;
    latest.adopt({ 3, noise(n, 3) });
    REQUIRE(from.answer(latest.request())->base_version() == 3);
    latest.adopt(from.own);
    REQUIRE_FALSE(from.answer(latest.request()));
}

TEST_CASE("In a series of changes the next version is requested as soon as an answer has arrived", "[mesh]")
{
    ConfigPullScheduler scheduler;
    Instant now {};
    scheduler.onPeerVersion("a", 5, true, now);
    scheduler.onRequestSent("a", now);
    scheduler.onPeerVersion("b", 6, true, now);
    scheduler.onAdopted(5, now);
    REQUIRE(scheduler.peerToAsk(false, now) == "b");
}

TEST_CASE("An unreachable peer causes no delay while other peers have the configuration", "[mesh]")
{
    const ConfigPullScheduler::Options options;
    ConfigPullScheduler scheduler;
    Instant now {};
    for (const auto* it : { "a", "b", "c" })
        scheduler.onPeerVersion(it, 5, true, now);
    REQUIRE(scheduler.peerToAsk(false, now) == "c");
    scheduler.removePeer("c");
    REQUIRE(scheduler.peerToAsk(false, now) == "b");
    scheduler.onRequestSent("b", now);
    REQUIRE_FALSE(scheduler.peerToAsk(false, now));
    now += options.partTimeout / 2;
    scheduler.onPartReceived(now); // a part has arrived
    REQUIRE_FALSE(scheduler.peerToAsk(false, now + options.partTimeout / 2));
    REQUIRE(scheduler.peerToAsk(false, now + options.partTimeout) == "a");
}

TEST_CASE(
    "A known version is overdue if nothing arrives, but not while parts or other versions arrive", "[mesh]")
{
    const ConfigPullScheduler::Options options;
    const auto half = options.overdueTimeout / 2;
    ConfigPullScheduler scheduler;
    Instant now {};
    REQUIRE_FALSE(scheduler.isOverdue(now + 1h));
    now += 1h;
    scheduler.onPeerVersion("a", 5, true, now);
    scheduler.onRequestSent("a", now + half);
    REQUIRE_FALSE(scheduler.isOverdue(now + options.overdueTimeout));
    REQUIRE(scheduler.isOverdue(now + options.overdueTimeout + 1ms));
    scheduler.onPartReceived(now += half);
    REQUIRE_FALSE(scheduler.isOverdue(now + options.overdueTimeout));
    scheduler.onPeerVersion("a", 6, true, now);
    scheduler.onAdopted(5, now += half); // during a series of changes
    REQUIRE_FALSE(scheduler.isOverdue(now + options.overdueTimeout));
    REQUIRE(scheduler.isOverdue(now + options.overdueTimeout + 1ms));
    scheduler.onAdopted(6, now);
    REQUIRE_FALSE(scheduler.isOverdue(now + 1h));
}
