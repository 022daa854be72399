#pragma once

#include "review/standins/Site.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace robinrun::review {

/// \brief The clients on all machines of a site. Each attempt has an id and a connection of its own; a client
/// tries again once, as the pages allow it.
class Clients {
public:
    struct Options {
        double perSecond = 8; ///< requests on each machine
        Duration deadline = 1s;
        /// Of the requests, those for one and the same resource, as of a page that all look at.
        double sameShare = 0;
    };
    struct Attempt {
        std::string id;
        double sentAt = 0;
        double endedAt = -1; ///< below 0: it has no end yet
        int status = 0; ///< 0: the connection has ended without an answer
        bool isIdempotent = true;
        bool isForSame = false;
    };

    Clients(Site& site, Options options);

    void stop() { m_timers.clear(); }
    const std::deque<Attempt>& attempts() const { return m_attempts; }

    /// \returns the attempts that were sent from \a from on and before \a until.
    std::size_t sent(double from, double until) const;
    /// \returns those of them that were served.
    std::size_t served(double from, double until) const;

private:
    void request(std::size_t host);
    struct Kind {
        bool isIdempotent = true;
        bool isForSame = false;
    };
    void attempt(std::size_t host, Kind kind, Instant deadline, unsigned retries);

    Site* m_site;
    Options m_options;
    std::deque<Attempt> m_attempts;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastRequest = 0;
    std::vector<Timer> m_timers;
    std::deque<Timer> m_retries;
};

} // namespace robinrun::review
