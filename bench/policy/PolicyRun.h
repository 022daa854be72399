#pragma once

#include "Arrivals.h"
#include "Core/Ewma.h"
#include "FakeBackend.h"
#include "Probing/ProbeBudget.h"
#include "Queueing/Admission.h"
#include "Routing/ServiceRouter.h"
#include "Scenario.h"
#include "Tally.h"
#include "support/VirtualLoop.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace robinrun::bench {

/// \brief A run of one policy: the node's own decision classes, with fakes for the network and the backend
/// servers.
class PolicyRun {
public:
    PolicyRun(
        const Deployment& deployment, const Scenario& scenario, ChoicePolicyKind kind, std::uint64_t seed);
    RunTally run();

private:
    struct Ingress {
        std::uint32_t hall;
        ServiceRouter router;
        Random random;
        bool isDead = false;
    };
    struct Upstream {
        std::string name;
        std::uint32_t hall;
        Admission admission;
        FakeBackend backend;
        ProbeBudget probes;
        Ewma errors;
        /// Calls taken and not answered yet, by ingress and group.
        std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> inHand;
        bool isDead = false;
        bool isProbing = false;
        Instant drainingSince = Instant::max();
    };
    struct Attempt {
        std::uint64_t call = 0;
        std::size_t upstream = 0;
        Instant arrivedAtOwner {};
        bool isRunning = false;
        bool isOver = false; ///< ended, refused or cancelled at the owner
    };
    struct Call {
        std::uint32_t group = 0;
        std::uint32_t ingress = 0;
        Instant arrived {};
        Instant deadline {};
        std::uint32_t attemptsLeft = 3;
        std::vector<std::string> tried;
        std::vector<std::uint64_t> out;
        bool hasFailed = false;
    };
    enum class End { Answered, Failed, Refused };

    void schedule();
    void startFault();
    void endFault();
    void arrive(std::uint32_t group, std::uint32_t ingress);
    void proceed(std::uint64_t callId);
    void send(std::uint64_t callId, std::size_t upstream);
    void takeAtOwner(std::uint64_t attemptId, Duration elsewhere, Instant deadline);
    void act(std::size_t upstream, const AdmissionResult& dispatch);
    void runAt(std::size_t upstream, std::uint64_t attemptId);
    void endedAt(std::uint64_t attemptId, FakeBackend::Run run);
    void answer(std::uint64_t attemptId, End end, Reason reason, Duration held);
    void takeAnswer(std::uint64_t attemptId, const OwnerReport& report, End end, Reason reason, Duration held,
        bool isLeaving);
    void cancel(std::uint64_t attemptId);
    void attemptTimedOut(std::uint64_t callId, std::uint64_t attemptId);
    void deadlineReached(std::uint64_t callId);
    void tryAgainOrEnd(std::uint64_t callId, End end, bool isFree);
    void finish(std::uint64_t callId, End end, Duration held);
    void probeTick(std::size_t upstream);
    OwnerReport reportOf(std::size_t upstream, std::uint32_t ingress, std::uint32_t group);
    Duration oneWay(std::uint32_t hallA, std::uint32_t hallB) const;
    bool isOwn() const { return m_kind == ChoicePolicyKind::ExpectedDelay; }

    /// How often each owner looks whether its budget allows a probe.
    static constexpr Duration probeEvery = 100ms;

    Deployment m_deployment;
    Scenario m_scenario;
    ChoicePolicyKind m_kind;
    VirtualLoop m_loop;
    std::vector<std::unique_ptr<Ingress>> m_ingresses;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    std::unordered_map<std::string, std::size_t> m_upstreamByName;
    std::unordered_map<std::uint64_t, Call> m_calls;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastAttempt = 0;
    RunTally m_tally;
    Arrivals m_arrivals;
};

} // namespace robinrun::bench
