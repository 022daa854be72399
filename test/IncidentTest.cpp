#include "support/SixNodes.h"

#include <catch2/catch.hpp>
#include <cstddef>

using namespace robinrun;
using namespace robinrun::support;

// Seen: calls on a route that a confirmed change had added got 404 at all nodes, for seven seconds.
//
// How: the store had been away for four seconds and was back; the nodes that followed the configuration for
// all others had sent reads in that time which wait at the store for news, and the store had forgotten them.
//
// Cause: a read that waits was taken for a sign that the store answers, for as long as it may wait, 20 s; the
// others rested because of it.
//
// Proof: no node read the configuration between the outage and the end of those reads, though other reads of
// the same nodes were answered; and 0.1 s after one had read anew, all had the change.
TEST_CASE("Reads that the store forgets hold up no change", "[mesh]")
{
    SixNodes f;
    // All that wait are answered and read on: from here they may wait their whole time.
    f.store.put("keyed.op", "config", MeshFixture::configuration(6));
    f.untilAll("robinrun_config_version 6");
    f.store.forgetWaiting();
    f.store.put("keyed.op", "config", MeshFixture::configuration(7));
    f.untilAll("robinrun_config_version 7");
}

// Seen: hundreds of calls on routes that a confirmed change had added got 404, for five seconds and more
// after another change.
//
// How: the configuration had grown to thousands of routes. The nodes that don't read the store asked those
// that do for the whole text, several the same one, and its link was full for seconds. Heartbeats waited
// behind the copies, links were taken for dead and ended with the copies on them, and all was asked for and
// sent again.
//
// Cause: a copy is one message as large as the configuration, on the link that heartbeats and calls need, and
// what came of it before the link's end is lost.
//
// Proof: four times the bytes of the copies that were needed came in; each copy that failed ended with its
// link, half a second to a second after it was asked for, and was asked for again.
TEST_CASE("A large configuration reaches all nodes over slow links", "[mesh]")
{
    constexpr std::size_t linkBytesPerSecond = 250000; // a whole text takes a second, five of them five
    constexpr std::size_t routes = 1400;
    SixNodes f(linkBytesPerSecond);
    f.store.put("keyed.op", "config", MeshFixture::largeConfiguration(6, routes));
    f.store.mode = FakeStore::Mode::Refusing; // the others have only their peers
    f.untilAll("robinrun_config_version 6");
}
