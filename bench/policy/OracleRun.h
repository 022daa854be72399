#pragma once

#include "Arrivals.h"
#include "FakeBackend.h"
#include "Queueing/Admission.h"
#include "Scenario.h"
#include "Tally.h"
#include "support/VirtualLoop.h"

#include <unordered_map>
#include <vector>

namespace robinrun::bench {

/// \brief The limit that no policy can beat: one central fair queue over all slots, with perfect knowledge.
///
/// It uses a server only while that serves at full speed, sends each call to the nearest free slot, and pays
/// the network's delay but no delay of news.
class OracleRun {
public:
    OracleRun(const Deployment& deployment, const Scenario& scenario, std::uint64_t seed);
    RunTally run();

private:
    struct Call {
        std::uint32_t group;
        std::uint32_t ingress;
        Instant arrived;
    };

    void arrive(std::uint32_t group, std::uint32_t ingress);
    void act(const AdmissionResult& dispatch);
    void start(std::uint64_t id);
    bool isUsable(std::size_t upstream) const;
    void updateSlots();
    void schedule();

    Deployment m_deployment;
    Scenario m_scenario;
    VirtualLoop m_loop;
    Admission m_queue;
    std::vector<FakeBackend> m_backends;
    std::vector<bool> m_isOut;
    std::vector<std::uint32_t> m_inUse;
    std::unordered_map<std::uint64_t, Call> m_calls;
    std::uint64_t m_lastId = 0;
    RunTally m_tally;
    Arrivals m_arrivals;
};

} // namespace robinrun::bench
