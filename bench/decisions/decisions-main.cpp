/// \file The cost of a decision, and how it grows with upstreams and groups (Google Benchmark).

#include "Control/ConfigDisseminator.h"
#include "Core/Random.h"
#include "Node/Directory.h"
#include "Once/TicketTable.h"
#include "Queueing/Admission.h"
#include "Routing/ServiceRouter.h"

#include <benchmark/benchmark.h>

using namespace robinrun;

namespace {

OwnerReport exampleReport(Random& random, Instant now)
{
    OwnerReport report;
    report.load = { 12, static_cast<std::uint32_t>(random.below(13)), 0, 10ms };
    report.receivedAt = now;
    return report;
}

/// One choice among n upstreams, with the call sent and answered.
void choose(benchmark::State& state)
{
    ServiceRouter router({});
    Random random(1);
    std::vector<UpstreamConfig> targets;
    targets.reserve(static_cast<std::size_t>(state.range(0)));
    for (int i = 0; i < state.range(0); ++i)
        targets.push_back({ "upstream-" + std::to_string(i), 12, 1ms });
    Instant now {};
    router.setUpstreams(targets, now);
    for (const auto& it : targets) {
        router.onAttemptSent(it.name, 1);
        router.onAttemptAnswered(it.name, 1, exampleReport(random, now), 10ms, false, now);
    }
    for (auto _ : state) {
        now += 100us;
        const auto name = *router.pickUpstream({}, { 1 }, now, random);
        router.onAttemptSent(name, 1);
        router.onAttemptAnswered(name, 1, exampleReport(random, now), 10ms, false, now);
    }
}
/// One call that ended, for a limit that is learnt over n slots; every fourth chooses anew.
void learnLimit(benchmark::State& state)
{
    const auto slots = static_cast<std::uint32_t>(state.range(0));
    LearntLimit limit(slots);
    Random random(1);
    for (auto _ : state) {
        const auto inUse = static_cast<std::uint32_t>(1 + random.below(limit.limit()));
        limit.addSample({ 1, inUse, limit.limit(), Duration(100000 + random.below(50000)), 400ms });
        benchmark::DoNotOptimize(limit.limit());
    }
}

/// The chance of one answer to be late, and one answer learnt from.
void judgeLateness(benchmark::State& state)
{
    LatenessEstimate chance;
    Random random(1);
    for (auto _ : state) {
        chance.addResponse(Duration(50000 + random.below(100000)), 100ms);
        benchmark::DoNotOptimize(chance.lateProbability(100ms, 150ms));
    }
}

BENCHMARK(learnLimit)->Arg(4)->Arg(18)->Arg(200);
BENCHMARK(judgeLateness);
BENCHMARK(choose)->Arg(4)->Arg(20)->Arg(100)->Arg(1000);

/// One call through a full owner with n groups waiting: enqueue, dequeue, settle.
void admit(benchmark::State& state)
{
    Admission::Options options;
    options.queueLimit = 100000;
    options.maxWaitSlotTimes = 1000000;
    Admission admission(options);
    const auto groups = static_cast<std::uint32_t>(state.range(0));
    Instant now {};
    std::uint64_t id = 0;
    std::vector<std::uint64_t> running;
    const auto offer = [&] {
        OfferedCall it;
        it.id = ++id;
        it.group = static_cast<std::uint32_t>(id % groups);
        it.deadline = Instant::max();
        for (const auto started : admission.offer(it, now).callsToRun)
            running.push_back(started);
    };
    for (std::uint32_t i = 0; i < 2 * groups + 20; ++i)
        offer();
    for (auto _ : state) {
        now += 10us;
        offer();
        const auto done = running.back();
        running.pop_back();
        for (const auto started : admission.onRunEnded(done, RunOutcome::Answered, now).callsToRun)
            running.push_back(started);
    }
}
BENCHMARK(admit)->Arg(1)->Arg(10)->Arg(100)->Arg(1000);

/// A ticket's first use, its end and a repeat.
void ticket(benchmark::State& state)
{
    TicketTable::Options options;
    options.maxBytes = 1ULL << 34U;
    TicketTable table("u", 1, options, {});
    Random random(1);
    Instant now {};
    for (auto _ : state) {
        now += 10us;
        const auto it = table.mint(random, now);
        table.beginCall(it, {}, 1, now);
        table.recordAnswer(it.nonce, { true, 200, {}, "done" });
        benchmark::DoNotOptimize(table.beginCall(it, {}, 2, now));
    }
}
BENCHMARK(ticket)->Iterations(200000);

/// The whole configuration made ready for calls, with n upstreams in n / 15 services.
void rebuildDirectory(benchmark::State& state)
{
    ConfigState config;
    const auto put = [&](proto::Resource resource) {
        proto::ChangeRecord change;
        change.set_id(resource.name());
        *change.mutable_put() = std::move(resource);
        config.apply(change.SerializeAsString());
    };
    for (int i = 0; i < state.range(0) / 15; ++i) {
        proto::Resource it;
        it.set_name("services/s" + std::to_string(i));
        it.mutable_service()->set_deadline_ms(1000);
        it.mutable_service()->set_queue_limit(100);
        put(it);
    }
    for (int i = 0; i < state.range(0); ++i) {
        proto::Resource it;
        it.set_name("upstreams/u" + std::to_string(i));
        auto& upstream = *it.mutable_upstream();
        upstream.set_service("s" + std::to_string(i / 15));
        upstream.set_address("127.0.0.1:80");
        upstream.set_node_address("127.0.0.1:81");
        upstream.set_host("h" + std::to_string(i));
        upstream.set_data_hall("hall");
        upstream.set_region("region");
        upstream.set_slots(12);
        upstream.set_connections(200);
        put(it);
    }
    for (auto _ : state) {
        Directory directory;
        directory.rebuild(config);
        benchmark::DoNotOptimize(directory.services().size());
    }
}
BENCHMARK(rebuildDirectory)->Arg(150)->Arg(1500)->Arg(7200)->Unit(benchmark::kMicrosecond);

/// A configuration of n routes of one host, and 300 upstreams of one service.
std::vector<proto::Resource> routesAndUpstreams(std::int64_t n, std::vector<proto::Resource>& upstreams)
{
    std::vector<proto::Resource> out(1);
    out[0].set_name("services/s");
    out[0].mutable_service()->set_deadline_ms(1000);
    for (std::int64_t i = 0; i < n; ++i) {
        proto::Resource it;
        it.set_name("routes/r" + std::to_string(i));
        it.mutable_route()->set_host("a.example");
        it.mutable_route()->set_path_prefix("/" + std::to_string(i * 7919) + "/");
        it.mutable_route()->add_split()->set_service("s");
        out.push_back(std::move(it));
    }
    for (int i = 0; i < 300; ++i) {
        proto::Resource it;
        it.set_name("upstreams/u" + std::to_string(i));
        it.mutable_upstream()->set_service("s");
        it.mutable_upstream()->set_node_address("127.0.0.1:81");
        upstreams.push_back(std::move(it));
    }
    return out;
}

/// All of n routes made ready for calls, as at a change of the configuration.
void rebuildRoutes(benchmark::State& state)
{
    std::vector<proto::Resource> upstreams;
    const auto resources = routesAndUpstreams(state.range(0), upstreams);
    Directory directory;
    for (auto _ : state)
        directory.rebuild(resources);
}
BENCHMARK(rebuildRoutes)->Arg(30)->Arg(1400)->Arg(2800)->Unit(benchmark::kMicrosecond);

/// 300 upstreams beside n routes, as at a change of a node's record.
void replaceUpstreams(benchmark::State& state)
{
    std::vector<proto::Resource> upstreams;
    Directory directory;
    directory.rebuild(routesAndUpstreams(state.range(0), upstreams));
    for (auto _ : state)
        directory.replaceUpstreams(upstreams);
}
BENCHMARK(replaceUpstreams)->Arg(30)->Arg(2800)->Unit(benchmark::kMicrosecond);

/// One tick of the control plane's decisions in a hall of n hosts, at ten ticks a second.
void spreadTick(benchmark::State& state)
{
    Membership members({});
    HostPage page { 1, true, {}, {} };
    for (int i = 0; i < state.range(0); ++i)
        page.hosts.push_back({ "host-" + std::to_string(i), "10.0.0.1:1", "hall", "region", false });
    members.applyPage(page);
    Instant now {};
    ConfigDisseminator spread({}, page.hosts.front(), 1, now);
    for (auto _ : state) {
        now += 100ms;
        benchmark::DoNotOptimize(spread.tick(members, 1, true, now));
        benchmark::DoNotOptimize(CountingTree(members, spread.self(), spread.hallRanking(), 8).parent(now));
    }
}
BENCHMARK(spreadTick)->Arg(25)->Arg(100)->Arg(400)->Unit(benchmark::kMicrosecond);

/// The first homes of a claim stream among n hosts (found once a second and stream).
void findHomes(benchmark::State& state)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(state.range(0)));
    for (int i = 0; i < state.range(0); ++i)
        names.push_back("host-" + std::to_string(i));
    for (auto _ : state)
        benchmark::DoNotOptimize(topRankedByHash(names, "claims-1", 3));
}
BENCHMARK(findHomes)->Arg(100)->Arg(1000)->Arg(7200)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
