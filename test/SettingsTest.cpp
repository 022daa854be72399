#include "Chart/Charts.h"
#include "Chart/Leaving.h"
#include "Load/LoadSpec.h"
#include "Settings/NodeSettings.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace robinrun;

namespace {

const std::string charts = std::string(SOURCE_FOLDER) + "/charts";

/// \brief A file that is there for one test.
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& text)
        : m_path("robinrun-test-" + std::to_string(getpid()) + ".yaml")
    {
        std::ofstream(m_path) << text;
    }
    ~TemporaryFile() { std::remove(m_path.c_str()); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

const std::string goodNode = R"(node: n1
data_hall: h
region: r
listen: {callers: '127.0.0.1:1', operators: '127.0.0.1:2', peers: '127.0.0.1:3'}
platform: {log: '127.0.0.1:4', hosts: '127.0.0.1:5'}
)";

std::string errorsOf(const std::string& text)
{
    const TemporaryFile file(text);
    std::string all;
    const auto settings = NodeSettings::load(file.path());
    if (!settings) {
        for (const auto& it : settings.error())
            all += it.text() + "\n";
    }
    return all;
}

bool has(const std::string& all, const std::string& part)
{
    return all.find(part) != std::string::npos;
}

std::string chartError(const std::string& text)
{
    const TemporaryFile file(text);
    const auto chart = LifeChart::load(file.path(), "upstream");
    return chart.has_value() ? "" : chart.error().text();
}

} // namespace

TEST_CASE("Good settings load, with defaults and units", "[settings]")
{
    const TemporaryFile file(goodNode + "drain_timeout: 1500ms\nlimits: {body: 2MiB}\n");
    const auto settings = NodeSettings::load(file.path()).value();
    REQUIRE(settings.drainTimeout == 1500ms);
    REQUIRE(settings.limits.body == 2U << 20U);
    REQUIRE(settings.choice.kind == ChoicePolicyKind::ExpectedDelay);
    REQUIRE(settings.claims.keyLifetime == 10min);
}

TEST_CASE("Bad settings are all named, with file, line and field", "[settings]")
{
    const auto all = errorsOf("node: n1\nregion: r\ndata_hall: [h]\n"
                              "listen: {callers: nonsense, operators: '127.0.0.1:2'}\n"
                              "platform: {log: '127.0.0.1:4', hosts: '127.0.0.1:5', timeout: 3}\n"
                              "drain_timeout: 30 bananas\nlog: {level: loud}\nwhat: 1\n"
                              "choice: {subset: 1.5}\noperator_tokens: {ann: short}\n");
    for (const auto* part : { ":3: data_hall: ", ":4: listen.callers: ", ":4: listen.peers: is missing",
             ":5: platform.timeout: a number with a unit",
             ":6: drain_timeout: ", ":7: log.level: 'loud' is not one of", ":8: what: is not a known field",
             ":9: choice.subset: a whole number", ":10: operator_tokens: 'ann'" }) {
        INFO(part << "\n" << all);
        REQUIRE(has(all, part));
    }
    REQUIRE(has(errorsOf("node: [unclosed"), ":1: "));
    const auto missing = NodeSettings::load("no-such-file.yaml");
    REQUIRE(has(missing.error().at(0).text(), "can't be read"));
}

TEST_CASE("A load is checked whole", "[settings]")
{
    const TemporaryFile file(
        "duration: 1s\ningresses: ['127.0.0.1:1', 5]\nstreams:\n- {group: g, rate: x}\n- 7\n");
    const auto spec = LoadSpec::load(file.path());
    std::string all;
    for (const auto& it : spec.error())
        all += it.text() + "\n";
    for (const auto* part : { ":2: ingresses: ", ":4: streams[0].credential: is missing",
             ":4: streams[0].rate: ", ":5: streams[1]: a map" }) {
        INFO(part << "\n" << all);
        REQUIRE(has(all, part));
    }
}

TEST_CASE("A map where a list belongs is an error, not a crash", "[settings]")
{
    const TemporaryFile file("ingresses: {a: b}\nbackends: 5\nstreams: {x: {group: g}}\n? [1, 2]\n: x\n");
    std::string all;
    const auto spec = LoadSpec::load(file.path());
    for (const auto& it : spec.error())
        all += it.text() + "\n";
    for (const auto* part : { ":1: ingresses: a list of addresses", ":2: backends: a list of addresses",
             ":3: streams: a list of maps" }) {
        INFO(part << "\n" << all);
        REQUIRE(has(all, part));
    }
}

TEST_CASE("The charts load and say what the code relies on", "[chart]")
{
    const auto all = Charts::load(charts).value();
    REQUIRE(all.node.next(NodeState::Serving, NodeEvent::StopAsked) == NodeState::Draining);
    REQUIRE_FALSE(all.node.next(NodeState::Serving, NodeEvent::Configured));
    REQUIRE(all.call.isFinal(CallState::NotRun));
    REQUIRE(all.call.next(CallState::Claiming, CallEvent::Lost) == CallState::Unknown);
    // Once handed over and lost, a call can never be called not run.
    REQUIRE(all.call.isFinal(CallState::Unknown));
}

TEST_CASE("A chart with a gap, an island or a stranger is refused, with its line", "[chart]")
{
    const std::string head
        = "chart: upstream\ninitial: active\nevents: [first-sign, all-signs-gone, idle]\nstates:\n";
    const std::string rest
        = "  draining: {on: {all-signs-gone: active, idle: drained}, ignore: [first-sign]}\n"
          "  drained: {on: {all-signs-gone: active}, ignore: [first-sign, idle]}\n";
    const std::string active = "  active: {on: {first-sign: draining}, ignore: [all-signs-gone, idle]}\n";
    REQUIRE(chartError(head + active + rest).empty());
    const auto gap = chartError(head + "  active: {on: {first-sign: draining}, ignore: [idle]}\n" + rest);
    REQUIRE(has(gap, ":5: state 'active' says nothing of event 'all-signs-gone'"));
    const auto island = chartError(head + "  active: {ignore: [first-sign, all-signs-gone, idle]}\n" + rest);
    REQUIRE(has(island, "state 'draining' can't be reached"));
    REQUIRE(has(chartError(head + active + "  nowhere: {final: true}\n" + rest), "states"));
    REQUIRE(has(chartError("chart: other\n"), "field 'chart' must be 'upstream'"));
    const auto twice = chartError(head
        + "  active: {on: {idle: drained, first-sign: draining}, ignore: [all-signs-gone, idle]}\n" + rest);
    REQUIRE(has(twice, "stands twice"));
}

TEST_CASE("Any sign makes an upstream leave, and it stays when all are gone", "[chart]")
{
    const auto all = Charts::load(charts).value();
    Leaving leaving(all.upstream);
    REQUIRE(leaving.set(LeavingSign::HostList, true) == LifeState::Draining);
    REQUIRE_FALSE(leaving.set(LeavingSign::Operator, true));
    REQUIRE(leaving.idle() == LifeState::Drained);
    REQUIRE_FALSE(leaving.set(LeavingSign::HostList, false));
    REQUIRE(leaving.isLeaving());
    REQUIRE(leaving.set(LeavingSign::Operator, false) == LifeState::Active);
}

TEST_CASE("Mechanisms are on but for those that the block of experiments switches off", "[settings]")
{
    auto settings = [] {
        const TemporaryFile plain(goodNode);
        return NodeSettings::load(plain.path());
    }();
    for (std::size_t i = 0; i < countOf<Mechanism>(); ++i)
        REQUIRE(settings.value().experiments.isOn(static_cast<Mechanism>(i)));
    const TemporaryFile changed(goodNode + "experiments: {ask_first: false, ejection: true}\n");
    settings = NodeSettings::load(changed.path());
    REQUIRE_FALSE(settings.value().experiments.isOn(Mechanism::AskFirst));
    REQUIRE(settings.value().experiments.isOn(Mechanism::Ejection));
}

TEST_CASE(
    "A switch that is none, or is neither on nor off, is an error with its field and line", "[settings]")
{
    const auto unknown = errorsOf(goodNode + "experiments: {ask_last: false}\n");
    REQUIRE(has(unknown, "experiments.ask_last"));
    REQUIRE(has(unknown, ":6"));
    const auto unclear = errorsOf(goodNode + "experiments: {ask_first: perhaps}\n");
    REQUIRE(has(unclear, "experiments.ask_first"));
    const auto kind = errorsOf(goodNode + "admission: {limit: guessed}\n");
    REQUIRE(has(kind, "admission.limit"));
    REQUIRE(has(kind, "learnt"));
}
