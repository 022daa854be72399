/// \file Plays one case of the second review on a small deployment on loopback.
///
/// Usage: review-site CASE ROOT FOLDER RECORD. With TROUBLE=0 in the environment the disruption is left out.
/// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not be played.

#include "Core/Loop.h"
#include "Site.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace review;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notPlayed = 2;

/// `recover_s`, and a second for the start of the processes.
constexpr Duration untilRecovered = 16s;
constexpr double leastServed = 0.25;

struct Play {
    event_base* base;
    std::string root;
    std::string folder;
    Record& record;
    bool hasTrouble;
};

/// \returns a deployment of 14 machines. Most requests are for the service `shop`, which has two upstreams.
Site::Options shopOptions(const Play& play)
{
    return { play.root, play.folder, { { "shop", 2, 8 }, { "cards", 6, 1 }, { "streaks", 6, 1 } } };
}

/// \brief RECOVER: before the final fault a quarter or more was served, and after it under a quarter.
int judgeRecovery(Site& site)
{
    const bool wasServing = site.servedShareSoFar() >= leastServed;
    site.pass(untilRecovered);
    return wasServing && site.servedShare(8s) < leastServed ? broken : held;
}

/// \brief Two upstreams crash behind a cut from the control addresses and start again; all nodes are killed;
/// a heartbeat from before the crash arrives after the new incarnation has registered.
int playLateBeat(const Play& play)
{
    Site site(play.base, shopOptions(play), play.record);
    if (!site.startToServe())
        return notPlayed;
    if (!play.hasTrouble)
        return judgeRecovery(site);
    const auto shop = site.hostsOf("shop");
    for (auto* it : shop)
        it->upstream->setCut(true);
    play.record.note("two upstreams are cut off from the control addresses");
    site.pass(1600ms);
    for (auto* it : shop) {
        it->upstream->crash();
        it->upstream->start();
    }
    play.record.note("they crash behind the cut and start again");
    site.pass(500ms);
    site.kill(site.present());
    site.pass(2s);
    for (auto* it : shop)
        it->upstream->setCut(false);
    play.record.note("the cut heals");
    site.pass(2s); // the new incarnations register
    for (auto* it : shop)
        it->upstream->deliverHeldBeat();
    return judgeRecovery(site);
}

/// \brief The settings files of four machines of 14 change, in series.
int playReloads(const Play& play)
{
    Site site(play.base,
        { play.root, play.folder, { { "shop", 3, 1 }, { "cards", 5, 1 }, { "streaks", 6, 1 } }, 45, 120ms },
        play.record);
    if (!site.startToServe())
        return notPlayed;
    const auto all = site.present();
    if (play.hasTrouble)
        site.startReloads({ all[0], all[3], all[6], all[9] }, 25);
    site.pass(80s);
    std::size_t reloads = 0;
    std::size_t ends = 0;
    for (const auto& it : site.hosts()) {
        reloads += it->reloads;
        ends += it->ownEnds;
    }
    play.record.note(std::to_string(ends) + " processes ended by themselves, at " + std::to_string(reloads)
        + " SIGHUPs; " + std::to_string(site.cutAfterReload()) + " requests that ran got no answer");
    return site.cutAfterReload() ? broken : held;
}

/// \brief Machines of one service are replaced, two at a time, and their addresses go to another service.
/// Then all processes are killed.
int playReusedAddresses(const Play& play)
{
    constexpr int rounds = 12;
    Site site(play.base,
        { play.root, play.folder, { { "shop", 2, 48 }, { "cards", 6, 1 }, { "streaks", 6, 1 } }, 0.5, 20ms,
            false },
        play.record);
    if (!site.startToServe())
        return notPlayed;
    for (int i = 0; play.hasTrouble && i < rounds; ++i) {
        const auto former = site.hostsOf("shop");
        for (auto* it : former)
            site.replace(*it);
        site.pass(2500ms); // more than `addr_reuse_s`
        for (auto* it : former)
            site.reuseAddress(*it, "cards");
        site.pass(1500ms);
    }
    (void)site.servedShare(5s);
    if (play.hasTrouble)
        site.kill(site.present());
    return judgeRecovery(site);
}

/// \brief All processes are killed right after an upstream's leave was acknowledged, while the store is down;
/// a heartbeat from before the leave arrives late.
int playForgottenLeave(const Play& play)
{
    constexpr Duration drain = 2s; // `drain_ms`
    constexpr Duration contact = 3s; // `contact_ms`
    Site site(play.base, shopOptions(play), play.record);
    if (!site.startToServe())
        return notPlayed;
    auto& leaving = *site.hostsOf("shop").front()->upstream;
    if (play.hasTrouble)
        site.setStoreDown(true);
    leaving.setCut(play.hasTrouble); // its next heartbeat is late
    site.pass(1600ms);
    leaving.leave([&] {
        if (play.hasTrouble)
            site.kill(site.present());
    });
    site.pass(2s);
    if (!leaving.isLeaving())
        return notPlayed;
    if (play.hasTrouble) {
        site.setStoreDown(false);
        site.pass(1s);
        leaving.deliverHeldBeat();
    }
    site.pass(contact); // from here on all machines are in touch, longer than drain after the acknowledgement
    static_assert(contact > drain);
    const auto runs = site.runsAt(leaving.id(), 4s);
    play.record.note(
        "requests sent 6 s and more after the acknowledgement that it runs: " + std::to_string(runs));
    return runs ? broken : held;
}

int playCase(const std::string& name, const Play& play)
{
    if (name == "late-beat")
        return playLateBeat(play);
    if (name == "reused-addresses")
        return playReusedAddresses(play);
    if (name == "forgotten-leave")
        return playForgottenLeave(play);
    if (name == "reloads")
        return playReloads(play);
    std::cerr << "no such case: " << name << '\n';
    return notPlayed;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
        return notPlayed;
    std::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    try {
        const auto base = makeLoop();
        Record record(argv[4]);
        const int status = playCase(argv[1], { base.get(), argv[2], argv[3], record, hasTrouble });
        record.note(status == broken ? "the rule was broken"
                : status == held     ? "the rule held"
                                     : "the case could not be played");
        return status;
    } catch (const std::exception& ex) {
        std::cerr << ex.what() << '\n';
        return notPlayed;
    }
}
