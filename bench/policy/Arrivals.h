#pragma once

#include "Core/Random.h"
#include "Scenario.h"
#include "support/VirtualLoop.h"

#include <functional>

namespace robinrun::bench {

using support::VirtualLoop;

/// \brief Sends the offered load of a scenario as Poisson arrivals, the same for every policy of a seed.
class Arrivals {
public:
    /// \brief Tells of one call: its group and the ingress it comes to.
    using Arrive = std::function<void(std::uint32_t group, std::uint32_t ingress)>;

    Arrivals(VirtualLoop& loop, const Deployment& deployment, const Scenario& scenario, std::uint64_t seed,
        Arrive arrive)
        : m_loop(&loop)
        , m_deployment(&deployment)
        , m_scenario(&scenario)
        , m_arrive(std::move(arrive))
    {
        for (std::uint32_t group = 0; group < scenario.groups.size(); ++group) {
            m_random.emplace_back(seed * 1000 + group);
            next(group);
        }
    }

private:
    double rate(std::uint32_t group) const
    {
        const bool isCrowd = m_loop->now() >= Instant(m_scenario->faultStart)
            && m_loop->now() < Instant(m_scenario->faultEnd);
        return m_scenario->groups[group].share * m_deployment->capacity()
            * (isCrowd ? m_scenario->crowdFactor : 1);
    }

    void next(std::uint32_t group)
    {
        m_loop->after(fromSeconds(m_random[group].exponential(1 / rate(group))), [this, group] {
            if (m_loop->now() >= Instant(m_scenario->length))
                return;
            m_arrive(group, static_cast<std::uint32_t>(m_random[group].below(m_deployment->ingresses)));
            next(group);
        });
    }

    VirtualLoop* m_loop;
    const Deployment* m_deployment;
    const Scenario* m_scenario;
    Arrive m_arrive;
    std::vector<Random> m_random;
};

} // namespace robinrun::bench
