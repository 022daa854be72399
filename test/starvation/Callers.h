#pragma once

#include "Core/Random.h"
#include "Http/HttpPool.h"
#include "Node/Timer.h"
#include "starvation/Deployment.h"
#include "starvation/ServiceCounts.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace robinrun::starvation {

/// \brief Which hosts the callers of a group stand on.
enum class CallerPlacement {
    AllHosts, ///< Each call comes in at any host.
    FixedHosts, ///< Each caller stays at one host, so a small group has few of them.
};

/// \brief Calls of all groups at all hosts at random times. A caller that is refused or fails comes back as
/// the node says, twice at most, while time is left.
class Callers {
public:
    struct Options {
        CallerPlacement placement = CallerPlacement::AllHosts;
        std::size_t callers = 1200; ///< Only for FixedHosts.
        unsigned retries = 2;
    };

    Callers(Deployment& deployment, Options options, std::uint64_t seed);

    void stop() { m_next = Timer(); }
    const ServiceCounts& counts() const { return m_counts; }

private:
    struct Caller {
        std::size_t host = 0;
        std::size_t group = 0;
    };
    struct Request {
        std::size_t host = 0;
        std::size_t group = 0;
        const CallKind* kind = nullptr;
        Instant deadline {};
        unsigned retriesLeft = 0;
        Reply last {};
    };

    void scheduleNext();
    void call();
    std::size_t pickGroup();
    void attempt(const Request& request);
    void ended(Request request, const Result<HttpReply, HttpError>& reply);
    HttpPool& poolOf(std::size_t host);

    Deployment* m_deployment;
    Options m_options;
    Random m_random;
    ServiceCounts m_counts;
    std::vector<Caller> m_callers;
    std::vector<double> m_groupShares; ///< Cumulated.
    std::map<std::size_t, std::unique_ptr<HttpPool>> m_pools; ///< Kept connections, by host.
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastRetry = 0;
    std::map<std::uint64_t, Timer> m_retries;
    Timer m_next;
};

} // namespace robinrun::starvation
