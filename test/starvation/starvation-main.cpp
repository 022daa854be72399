/// \file A deployment of real nodes on the real clock, and what each calling group, host and kind of call
/// gets of it: none may be served less than a quarter as often as all.

#include "Core/EnumNames.h"
#include "Core/Loop.h"
#include "starvation/Callers.h"
#include "starvation/Deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <getopt.h>
#include <iostream>
#include <string>
#include <unistd.h>

namespace robinrun::starvation {

/// \brief What befalls the nodes while calls come.
enum class Trouble {
    None,
    KillMany, ///< Six tenths of the nodes are killed every five seconds.
    KillAll, ///< All nodes are killed after a third of the time.
    RestartMany, ///< Half of the nodes are stopped in turn and start again.
    LoseHall, ///< All hosts of a data hall are lost for good after two seconds.
    LoseSome, ///< A seventh of the hosts, drawn by the seed, are lost for good then.
    Freeze, ///< A fifth of the nodes stand still for a moment, again and again.
};

} // namespace robinrun::starvation

template <> struct robinrun::EnumNames<robinrun::starvation::Trouble> {
    static constexpr std::array<std::string_view, 7> names { "none", "kill-many", "kill-all", "restart-many",
        "lose-hall", "lose-some", "freeze" };
};

namespace {

using namespace robinrun;
using namespace robinrun::starvation;

constexpr Duration settleTime = 5s; ///< Until the last calls have ended.
constexpr Duration lossAfter = 2s; ///< Hosts that are lost for good are lost so long after the first call.

struct Options {
    DeploymentPlan plan;
    Callers::Options callers;
    Trouble trouble = Trouble::None;
    std::uint64_t seed = 1;
    Duration length = 30s;
    Duration lead = 10s; ///< Calls begin so long after the nodes.
    unsigned busyProcesses = 0; ///< That use up processor time beside the nodes.
};

/// \brief Troubles of one run, by its seed.
class TroubleMaker {
public:
    TroubleMaker(Deployment& deployment, std::uint64_t seed)
        : m_deployment(&deployment)
        , m_random(seed)
    {
    }

    void start(Trouble trouble, Duration length)
    {
        auto* base = m_deployment->base();
        switch (trouble) {
        case Trouble::None:
            return;
        case Trouble::KillMany:
            m_timer = Timer::repeating(base, 5s, [this] { killShare(0.6); });
            return;
        case Trouble::KillAll:
            m_timer = Timer::once(base, length / 3, [this] { killShare(1); });
            return;
        case Trouble::RestartMany:
            m_timer = Timer::repeating(base, 400ms, [this] { restartNext(); });
            return;
        case Trouble::LoseHall:
            m_timer = Timer::once(base, lossAfter, [this] { loseHall(); });
            return;
        case Trouble::LoseSome:
            m_timer = Timer::once(base, lossAfter, [this] { loseShare(1.0 / 7); });
            return;
        case Trouble::Freeze:
            m_timer = Timer::repeating(base, 500ms, [this] { freezeShare(0.2); });
            return;
        }
    }

    void stop()
    {
        m_timer = Timer();
        thaw();
    }

private:
    void killShare(double share)
    {
        for (auto& it : m_deployment->hosts()) {
            if (m_random.chance(share))
                m_deployment->kill(*it, fromSeconds(0.5 + m_random.unit()));
        }
    }

    void loseHall()
    {
        for (auto& it : m_deployment->hosts()) {
            if (it->dataHall == m_deployment->hosts().front()->dataHall)
                m_deployment->lose(*it);
        }
    }

    void loseShare(double share)
    {
        for (auto& it : m_deployment->hosts()) {
            if (m_random.chance(share))
                m_deployment->lose(*it);
        }
    }

    void restartNext()
    {
        auto& hosts = m_deployment->hosts();
        m_deployment->restart(*hosts[m_next++ % hosts.size()]);
    }

    void freezeShare(double share)
    {
        for (auto& it : m_deployment->hosts()) {
            if (m_random.chance(share))
                it->node.signal(SIGSTOP);
        }
        m_thaw = Timer::once(m_deployment->base(), 250ms, [this] { thaw(); });
    }

    void thaw()
    {
        for (auto& it : m_deployment->hosts())
            it->node.signal(SIGCONT);
    }

    Deployment* m_deployment;
    Random m_random;
    std::size_t m_next = 0;
    Timer m_timer;
    Timer m_thaw;
};

/// \brief Processes that do nothing but use processor time; they end with this process.
class BusyProcesses {
public:
    explicit BusyProcesses(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i)
            m_processes.emplace_back(
                std::vector<std::string> { "/bin/sh", "-c", "while :; do :; done" }, "/dev/null");
    }

private:
    std::vector<support::ChildProcess> m_processes;
};

/// \brief The longest time by which a timer of this process was late: the stand-ins must not be the slow
/// part.
class LoopLag {
public:
    explicit LoopLag(event_base* base)
        : m_last(monotonicNow())
    {
        m_timer = Timer::repeating(base, interval, [this] {
            const auto now = monotonicNow();
            m_longest = std::max(m_longest, now - m_last - interval);
            m_lateTicks += now - m_last > 2 * interval ? 1 : 0;
            ++m_ticks;
            m_last = now;
        });
    }

    void write(std::ostream& out) const
    {
        out << "stand-ins: longest turn " << toMilliseconds(m_longest) << " ms, late ticks " << m_lateTicks
            << " of " << m_ticks << '\n';
    }

private:
    static constexpr Duration interval = 10ms;

    Instant m_last;
    Duration m_longest {};
    std::size_t m_ticks = 0;
    std::size_t m_lateTicks = 0;
    Timer m_timer;
};

int play(const Options& options)
{
    const auto base = makeLoop();
    const BusyProcesses busy(options.busyProcesses);
    NestedCounts nested;
    Deployment deployment(base.get(), options.plan, options.seed, nested);
    deployment.pass(options.lead);
    std::cout << (deployment.areAllReady() ? "all nodes are ready\n" : "not all nodes are ready\n");
    Callers callers(deployment, options.callers, options.seed + 1);
    TroubleMaker trouble(deployment, options.seed + 2);
    trouble.start(options.trouble, options.length);
    const LoopLag lag(base.get());
    deployment.pass(options.length);
    callers.stop();
    trouble.stop();
    deployment.pass(settleTime);
    const auto& counts = callers.counts();
    counts.write(std::cout);
    std::cout << "nested calls: " << nested.served << " of " << nested.sent << " served\n";
    lag.write(std::cout);
    std::cout << "stops for the processor share: " << deployment.quotaStops() << '\n';
    std::cout << "seed " << options.seed << ", " << nameOf(options.trouble) << ": " << counts.starvedCount()
              << " starved\n";
    return counts.starvedCount() ? EXIT_FAILURE : EXIT_SUCCESS;
}

const option* knownOptions()
{
    static const option known[] = { { "root", required_argument, nullptr, 'r' },
        { "program", required_argument, nullptr, 'p' }, { "folder", required_argument, nullptr, 'f' },
        { "seed", required_argument, nullptr, 's' }, { "seconds", required_argument, nullptr, 'l' },
        { "lead", required_argument, nullptr, 'e' }, { "hosts", required_argument, nullptr, 'n' },
        { "calls-per-second", required_argument, nullptr, 'c' },
        { "trouble", required_argument, nullptr, 't' }, { "busy", required_argument, nullptr, 'b' },
        { "processor-factor", required_argument, nullptr, 'q' }, { "fixed-hosts", no_argument, nullptr, 'x' },
        { nullptr, 0, nullptr, 0 } };
    return known;
}

/// \returns whether the option is known and has a value that can be read.
bool apply(int name, const std::string& value, Options& out)
{
    switch (name) {
    case 'r':
        out.plan.root = value;
        return true;
    case 'p':
        out.plan.program = value;
        return true;
    case 'f':
        out.plan.folder = value;
        return true;
    case 's':
        out.seed = std::strtoull(value.c_str(), nullptr, 10);
        return true;
    case 'l':
        out.length = fromSeconds(std::atof(value.c_str()));
        return true;
    case 'e':
        out.lead = fromSeconds(std::atof(value.c_str()));
        return true;
    case 'n':
        out.plan.hosts = std::strtoull(value.c_str(), nullptr, 10);
        return true;
    case 'c':
        out.plan.callsPerSecond = std::atof(value.c_str());
        return true;
    case 'b':
        out.busyProcesses = static_cast<unsigned>(std::strtoul(value.c_str(), nullptr, 10));
        return true;
    case 'q':
        out.plan.processorFactor = std::atof(value.c_str());
        return true;
    case 'x':
        out.callers.placement = CallerPlacement::FixedHosts;
        return true;
    case 't':
        for (std::size_t i = 0; i < countOf<Trouble>(); ++i) {
            out.trouble = static_cast<Trouble>(i);
            if (nameOf(out.trouble) == value)
                return true;
        }
        return false;
    default:
        return false;
    }
}

bool parse(int argc, char** argv, Options& out)
{
    for (int it = 0; (it = getopt_long(argc, argv, "", knownOptions(), nullptr)) != -1;) {
        if (!apply(it, optarg ? optarg : "", out))
            return false;
    }
    return !out.plan.root.empty() && !out.plan.program.empty() && !out.plan.folder.empty()
        && out.plan.hosts > out.plan.servedByLast;
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    if (!parse(argc, argv, options)) {
        std::cerr << "usage: robinrun-starvation --root REPOSITORY --program NODE --folder FOLDER [--seed N] "
                     "[--seconds S] [--lead S] [--hosts N] [--calls-per-second N] [--trouble none|kill-many|"
                     "kill-all|restart-many|lose-hall|lose-some|freeze] [--busy PROCESSES] "
                     "[--processor-factor X] [--fixed-hosts]\n";
        return EXIT_FAILURE;
    }
    std::signal(SIGPIPE, SIG_IGN);
    options.plan.folder = std::filesystem::absolute(options.plan.folder).string();
    options.plan.program = std::filesystem::absolute(options.plan.program).string();
    std::filesystem::create_directories(options.plan.folder);
    try {
        // Paths in the settings template are relative to the root.
        std::filesystem::current_path(options.plan.root);
        return play(options);
    } catch (const std::exception& ex) {
        std::cerr << ex.what() << '\n';
        return EXIT_FAILURE;
    }
}
