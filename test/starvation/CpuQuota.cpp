#include "starvation/CpuQuota.h"

#include <csignal>
#include <cstdint>
#include <fstream>
#include <string>

namespace robinrun::starvation {
namespace {

    /// \returns the processor time that the process has used; 0 if it is gone.
    Duration usedTime(pid_t pid)
    {
        std::ifstream in("/proc/" + std::to_string(pid) + "/schedstat");
        std::int64_t nanoseconds = 0;
        in >> nanoseconds;
        return std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(nanoseconds));
    }

} // namespace

void CpuQuota::apply(const support::ChildProcess& process, double share, Instant now)
{
    const auto pid = process.pid();
    if (!pid)
        return;
    auto& state = m_states[pid];
    const auto used = usedTime(pid);
    if (now >= state.periodEnd) {
        state.periodEnd = now + period;
        state.usedBefore = used;
        if (state.isStopped)
            process.signal(SIGCONT);
        state.isStopped = false;
        return;
    }
    if (state.isStopped || toSeconds(used - state.usedBefore) < share * toSeconds(period))
        return;
    process.signal(SIGSTOP);
    state.isStopped = true;
    ++m_stopCount;
}

} // namespace robinrun::starvation
