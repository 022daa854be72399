#pragma once

#include "Http/HttpPool.h"
#include "Node/BackendReply.h"
#include "Node/CallHeaders.h"
#include "Probing/ProbeBudget.h"

#include <functional>
#include <optional>
#include <string>

namespace robinrun {

/// \brief What a probe of the backend server showed. Its counts of calls are not used: they lag or mislead.
struct ProbeNews {
    bool isReachable = false;
    bool isRefused = false; ///< nothing listens at the address
    bool isDraining = false;
    bool isWell = false; ///< the server believes so
    std::string upstream; ///< id of the server's present start, if it tells
    std::uint32_t slots = 0; ///< if it tells
    std::optional<double> slowdown;
    BackendStatement statement;
    std::optional<Duration>
        coldFor; ///< how long it stays cold; zero if it is warm; nothing if it can't be told
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

    /// \brief Probes without asking the budget, as when nothing is known of the server.
    /// \returns false if a probe is out.
    bool probe(HttpPool& pool, Instant now, Done done);

    void setPath(const std::string& path, const CallHeaders& names);

    const ProbeBudget& budget() const { return m_budget; }

private:
    ProbeNews read(const HttpReply& reply) const;

    ProbeBudget m_budget;
    std::string m_path = "/health";
    CallHeaders m_names;
    bool m_isOut = false;
};

} // namespace robinrun
