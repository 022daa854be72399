#pragma once

#include "Core/Random.h"
#include "Core/Time.h"
#include "Scenario.h"

namespace robinrun::bench {

/// \brief A fake at the interface to a backend server: how long a call holds its slot, and whether it fails.
class FakeBackend {
public:
    FakeBackend(const Deployment& deployment, std::uint64_t seed)
        : m_deployment(&deployment)
        , m_random(seed)
    {
    }

    double slowFactor = 1;
    bool failsFast = false;
    bool isDown = false; ///< refuses connections
    bool isDraining = false;
    Instant rejectsFrom = Instant::max(); ///< a draining server turns new work away from then on
    Instant coldSince = Instant::min();

    struct Run {
        Duration held;
        bool isFailure;
    };

    Run run(Instant now)
    {
        constexpr Duration failureTime = 200us;
        if (failsFast || now >= rejectsFrom)
            return { failureTime, true };
        const double mean = toSeconds(m_deployment->meanService) * slowFactor * coldFactor(now);
        return { fromSeconds(m_random.logNormal(mean, m_deployment->sigma)), false };
    }

    /// \returns how much longer a cold server takes.
    double coldFactor(Instant now) const
    {
        constexpr double atStart = 4;
        constexpr Duration warmAfter = 5s;
        if (coldSince == Instant::min() || now >= coldSince + warmAfter)
            return 1;
        return 1 + (atStart - 1) * (1 - toSeconds(now - coldSince) / toSeconds(warmAfter));
    }

private:
    const Deployment* m_deployment;
    Random m_random;
};

} // namespace robinrun::bench
