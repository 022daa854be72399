#pragma once

#include "Core/Random.h"
#include "SharedSite.h"

#include <algorithm>

namespace robinrun::bench {

/// \brief A fake backend server on a shared host: how long a run holds its slot, and what it tells of its
/// speed.
class SharedBackend {
public:
    SharedBackend(const SharedSite& site, std::uint64_t seed)
        : m_site(&site)
        , m_seed(seed)
        , m_random(seed)
    {
    }

    /// \returns the factor by which work takes longer at \a now.
    double slowdown(Instant now) const
    {
        Random phase(m_seed * phasesApart + phaseOf(now));
        return phase.chance(m_site->slowShare) ? m_site->slowFactor : 1;
    }

    /// \returns how long a run of mean \a work that starts now takes. \param inUse slots, with its own.
    Duration run(Duration work, std::uint32_t inUse, Instant now)
    {
        double left = m_random.logNormal(toSeconds(work), m_site->sigma);
        if (inUse > m_site->knee * m_site->slots)
            left *= m_site->kneeFactor;
        if (now < Instant(m_site->coldFor))
            left *= m_site->coldFactor;
        auto at = now;
        while (true) {
            const auto phaseEnd = Instant(m_site->slowEvery * (phaseOf(at) + 1));
            const double done = toSeconds(phaseEnd - at) / slowdown(at);
            if (done >= left)
                return at + fromSeconds(left * slowdown(at)) - now;
            left -= done;
            at = phaseEnd;
        }
    }

private:
    static constexpr std::uint64_t phasesApart = 1000003; ///< between two servers' seeds: more than phases

    std::uint64_t phaseOf(Instant at) const
    {
        return static_cast<std::uint64_t>(at.time_since_epoch() / m_site->slowEvery);
    }

    const SharedSite* m_site;
    std::uint64_t m_seed;
    Random m_random;
};

} // namespace robinrun::bench
