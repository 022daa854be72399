#include "support/CrashFixture.h"

#include <catch2/catch.hpp>

/// \file Requests that crash the backend servers which run them, through whole nodes.
///
/// Seen: three waves of a day in which one kind of request was served to a quarter, because all four servers
/// of a service ended again and again, each within seconds of its start. One request was sent to servers ten
/// times more after three had ended under it. How it came about: the request came again with the same content
/// at any node, under another id, and each attempt was sent to the next server that was up. Cause: what a run
/// had done to its server was told to nobody: a broken run is retried as one that was lost, and neither the
/// node nor its peers know the request again. Proved by: the contents of the calls that broke at the end of
/// each server, in the owners' logs.

using namespace robinrun;
using support::CrashFixture;

TEST_CASE("A request under which three servers have crashed is sent no more", "[crash]")
{
    CrashFixture f;
    f.crashOn("/poison");
    f.crashAtLeast(3, "/read/poison");
    f.pass(CrashFixture::inTouch);
    const auto before = f.deliveries("/read/poison");
    for (std::size_t i = 0; i < 20; ++i) {
        f.call(i % f.places.size(), "GET", "/read/poison");
        f.pass(20ms);
    }
    CHECK(f.deliveries("/read/poison") - before == 0);
    f.until([&] { return f.areAllUp(); });
    for (std::size_t i = 0; i < f.places.size(); ++i)
        f.untilServed(i);
}
