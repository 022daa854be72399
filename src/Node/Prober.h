#pragma once

#include "Http/HttpPool.h"
#include "Probing/ProbeBudget.h"

#include <functional>
#include <string>

namespace robinrun {

/// \brief What a probe of the backend server showed. Its load figures are not used: they lag or mislead.
struct ProbeNews {
    bool isReachable = false;
    bool isDraining = false;
};

/// \brief Asks the backend server's health endpoint, inside the budget and only on a free slot.
class Prober {
public:
    using Done = std::function<void(ProbeNews, Duration held)>;

    Prober(ProbeBudget::Options options, Instant now)
        : m_budget(options, now)
    {
    }

    void setOptions(ProbeBudget::Options options, Instant now) { m_budget.setOptions(options, now); }

    /// \brief Starts a probe over \a pool if the budget allows. \returns whether it did; then \a done runs
    /// once. The prober must outlive the pool. \param freeSlots slots that nothing holds; a probe takes one,
    /// as the backend server counts it.
    bool tryProbe(HttpPool& pool, std::uint32_t freeSlots, std::uint32_t waiting, Instant now, Done done);

    const ProbeBudget& budget() const { return m_budget; }

private:
    ProbeBudget m_budget;
    bool m_isOut = false;
};

} // namespace robinrun
