#pragma once

#include "Core/Time.h"
#include "support/ChildProcess.h"

#include <map>
#include <sys/types.h>

namespace robinrun::starvation {

/// \brief Holds processes to a share of a core: full speed until the share of a period is used up, then
/// stopped until the period ends. Reads the time used from the process table. Cost: a file read a call.
class CpuQuota {
public:
    static constexpr Duration period = 100ms;

    /// \brief Stops or continues \a process by what it has used of \a share in this period.
    void apply(const support::ChildProcess& process, double share, Instant now);
    /// \returns how often a process was stopped.
    std::size_t stopCount() const { return m_stopCount; }

private:
    struct State {
        Instant periodEnd {};
        Duration usedBefore {};
        bool isStopped = false;
    };

    std::map<pid_t, State> m_states;
    std::size_t m_stopCount = 0;
};

} // namespace robinrun::starvation
