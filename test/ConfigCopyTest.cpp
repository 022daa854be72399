#include "Mesh/ConfigCopies.h"
#include "Mesh/ConfigFetch.h"
#include "Mesh/PullPlan.h"
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

/// \brief A node that has a configuration, or wants one.
struct Holder {
    ConfigText own;
    ConfigCopies copies;
    ConfigFetch fetch;

    void adopt(ConfigText text)
    {
        if (own.version)
            copies.keepFormer(own);
        own = std::move(text);
        fetch.adopted();
    }

    proto::ConfigPartRequest request() const { return fetch.request(own.version, own.text); }
    std::optional<proto::ConfigPart> answer(const proto::ConfigPartRequest& request)
    {
        return copies.answer(request, own.version, own.text);
    }
};

struct Transfer {
    std::size_t parts = 0;
    std::size_t bytes = 0; ///< of all parts, lost ones too
    std::string text; ///< that came of it; "" if nothing did
};

/// \brief Lets \a to ask \a from until it has a copy or gets no answer. \param mostParts after which the link
/// ends.
Transfer transfer(Holder& from, Holder& to, std::size_t mostParts = 1000)
{
    Transfer out;
    while (out.parts < mostParts) {
        const auto part = from.answer(to.request());
        if (!part)
            return out;
        ++out.parts;
        out.bytes += part->data().size();
        if (to.fetch.take(*part, to.own.version) != ConfigFetch::Progress::Whole)
            continue;
        const auto text = to.fetch.text(to.own.text);
        if (text)
            out.text = text.value();
        return out;
    }
    return out;
}

} // namespace

TEST_CASE("A compressed text is read with its base only", "[mesh]")
{
    rc::prop("round trip", [](const std::string& text, const std::string& base) {
        const auto encoded = encodeDelta(text, base);
        RC_ASSERT(decodeDelta(encoded, base, text.size()).value() == text);
    });
    const auto base = noise(5000, 1);
    const auto text = base + noise(100, 2);
    const auto encoded = encodeDelta(text, base);
    REQUIRE(encoded.size() < 500);
    REQUIRE_FALSE(decodeDelta(encoded, noise(5000, 3), text.size()));
    REQUIRE_FALSE(decodeDelta(encoded, "", text.size()));
    REQUIRE_FALSE(decodeDelta(encoded, base, text.size() - 1));
    REQUIRE_FALSE(decodeDelta(encoded.substr(0, encoded.size() - 1), base, text.size()));
    REQUIRE_FALSE(decodeDelta("{\"version\":\"r1\"}", "", 1000));
    REQUIRE_FALSE(decodeDelta("", "", 1000));
}

TEST_CASE("A change of one route costs bytes of that route, however many there are", "[mesh]")
{
    Holder from;
    from.adopt({ 6, MeshFixture::largeConfiguration(6, manyRoutes) });
    Holder former;
    former.adopt(from.own);
    from.adopt({ 7, MeshFixture::largeConfiguration(7, manyRoutes + 1) });
    const auto difference = transfer(from, former);
    REQUIRE(difference.text == from.own.text);
    REQUIRE(difference.bytes < 1000);

    Holder fresh;
    const auto whole = transfer(from, fresh);
    REQUIRE(whole.text == from.own.text);
    REQUIRE(whole.bytes < from.own.text.size() / 5);
    // No part fills a link of 10 Mbit/s for long.
    REQUIRE(whole.parts >= whole.bytes / ConfigCopies::Options {}.partBytes);
}

TEST_CASE("A copy goes on where it was cut, also with another peer", "[mesh]")
{
    Holder first;
    first.adopt({ 7, noise(100000, 1) });
    Holder second;
    second.adopt(first.own);
    Holder asker;
    const auto begun = transfer(first, asker, 2);
    REQUIRE(begun.text.empty());
    const auto rest = transfer(second, asker);
    REQUIRE(rest.text == first.own.text);
    Holder other;
    REQUIRE(begun.bytes + rest.bytes == transfer(first, other).bytes);
}

TEST_CASE("A copy that was begun is finished while newer versions come", "[mesh]")
{
    Holder from;
    from.adopt({ 7, noise(100000, 1) });
    Holder asker;
    std::string text;
    for (std::uint64_t version = 8; version < 20 && text.empty(); ++version) {
        text = transfer(from, asker, 1).text;
        from.adopt({ version, from.own.text + noise(100, version) });
    }
    REQUIRE(text == noise(100000, 1));
    asker.adopt({ 7, text });
    REQUIRE(transfer(from, asker).text == from.own.text);
}

TEST_CASE("Parts that don't follow change nothing", "[mesh]")
{
    Holder from;
    from.adopt({ 7, noise(100000, 1) });
    Holder asker;
    const auto first = from.answer(asker.request());
    REQUIRE(asker.fetch.take(*first, 0) == ConfigFetch::Progress::More);
    const auto second = from.answer(asker.request());
    REQUIRE(asker.fetch.take(*first, 0) == ConfigFetch::Progress::None); // it has come before
    REQUIRE(asker.fetch.take(*second, 0) == ConfigFetch::Progress::More);
    REQUIRE(asker.fetch.take(*second, 0) == ConfigFetch::Progress::None);
    REQUIRE(asker.fetch.take(*second, 7) == ConfigFetch::Progress::None); // no longer news
    auto bad = *first;
    bad.set_copy_bytes(ConfigFetch::maxBytes + 1);
    REQUIRE(asker.fetch.take(bad, 0) == ConfigFetch::Progress::None);
    bad = *first;
    bad.clear_data();
    REQUIRE(asker.fetch.take(bad, 0) == ConfigFetch::Progress::None);
    bad = *first;
    bad.set_base_version(6); // which is not in force here
    REQUIRE(asker.fetch.take(bad, 5) == ConfigFetch::Progress::None);
    REQUIRE(transfer(from, asker).text == from.own.text);
}

TEST_CASE("A difference that can't be read is followed by a whole copy", "[mesh]")
{
    Holder from;
    from.adopt({ 6, noise(20000, 1) });
    Holder asker;
    asker.adopt(from.own);
    from.adopt({ 7, from.own.text + "more" });
    const auto request = asker.request();
    asker.own.text[0] = '?'; // damage
    const auto part = from.answer(request);
    REQUIRE(part->base_version() == 6);
    REQUIRE(asker.fetch.take(*part, 6) == ConfigFetch::Progress::Whole);
    REQUIRE_FALSE(asker.fetch.text(asker.own.text));
    REQUIRE(asker.request().own_version() == 0);
    REQUIRE(transfer(from, asker).text == from.own.text);
    asker.adopt(from.own);
    REQUIRE(asker.request().own_version() == 7);
}

TEST_CASE("Former texts are bounded; without one the copy is whole", "[mesh]")
{
    Holder from;
    from.adopt({ 1, noise(20000, 1) });
    Holder asker;
    asker.adopt(from.own);
    from.adopt({ 2, from.own.text + "more" });
    REQUIRE(from.answer(asker.request())->base_version() == 1);
    Holder differs;
    differs.adopt({ 1, noise(20000, 2) }); // the same version with another text
    REQUIRE(from.answer(differs.request())->base_version() == 0);
    const auto n = ConfigCopies::Options {}.formerBytes;
    from.adopt({ 3, noise(n, 3) });
    from.adopt({ 4, noise(n, 4) });
    REQUIRE(from.answer(asker.request())->base_version() == 0);
    Holder latest;
    latest.adopt({ 3, noise(n, 3) });
    REQUIRE(from.answer(latest.request())->base_version() == 3);
    latest.adopt(from.own);
    REQUIRE_FALSE(from.answer(latest.request()));
}

TEST_CASE("In a series of changes no answer is waited for that has come", "[mesh]")
{
    PullPlan plan;
    Instant now {};
    plan.heard("a", 5, true, now);
    plan.asked("a", now);
    plan.heard("b", 6, true, now);
    plan.got(5, now);
    REQUIRE(plan.due(false, now) == "b");
}

TEST_CASE("A peer that can't be reached costs no time while others have the configuration", "[mesh]")
{
    const PullPlan::Options options;
    PullPlan plan;
    Instant now {};
    for (const auto* it : { "a", "b", "c" })
        plan.heard(it, 5, true, now);
    REQUIRE(plan.due(false, now) == "c");
    plan.unreachable("c");
    REQUIRE(plan.due(false, now) == "b");
    plan.asked("b", now);
    REQUIRE_FALSE(plan.due(false, now));
    now += options.patience / 2;
    plan.progressed(now); // a part came
    REQUIRE_FALSE(plan.due(false, now + options.patience / 2));
    REQUIRE(plan.due(false, now + options.patience) == "a");
}

TEST_CASE("A version is overdue when it was heard of and nothing comes, not while others come", "[mesh]")
{
    const PullPlan::Options options;
    const auto half = options.overdue / 2;
    PullPlan plan;
    Instant now {};
    REQUIRE_FALSE(plan.isOverdue(now + 1h));
    now += 1h;
    plan.heard("a", 5, true, now);
    plan.asked("a", now + half);
    REQUIRE_FALSE(plan.isOverdue(now + options.overdue));
    REQUIRE(plan.isOverdue(now + options.overdue + 1ms));
    plan.progressed(now += half);
    REQUIRE_FALSE(plan.isOverdue(now + options.overdue));
    plan.heard("a", 6, true, now);
    plan.got(5, now += half); // in a series of changes
    REQUIRE_FALSE(plan.isOverdue(now + options.overdue));
    REQUIRE(plan.isOverdue(now + options.overdue + 1ms));
    plan.got(6, now);
    REQUIRE_FALSE(plan.isOverdue(now + 1h));
}
