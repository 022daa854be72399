#pragma once

#include "Core/BackendLife.h"
#include "Core/Time.h"
#include "Node/BackendReply.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace robinrun {

/// \brief What backend servers have stated about themselves in the answers that this ingress has passed on.
///
/// An owner that restarts forgets what its server has stated. The ingresses remember: they tell the owner of
/// a limit with each call, and never again send a call to a life of a server that is leaving, whatever its
/// owner says. Cost: O(log entries); at most `maxEntries` of either kind are kept, the latest ones.
class BackendNotices {
public:
    static constexpr std::size_t maxEntries = 4096;

    /// A rate limit as it was named last.
    struct RateLimit {
        double requestsPerSecond = 0;
        Instant heardAt {};
    };

    /// \brief Records the statement of \a life. \returns whether it is the first to say that the life leaves.
    bool add(const BackendLife& life, const BackendStatement& statement, Instant now);

    /// \returns the limit that \a life, or a life of its id that may be the same, has named last; nothing if
    /// it names none.
    std::optional<RateLimit> rateLimitOf(const BackendLife& life) const;

    /// \returns whether \a life, or a life of its id that may be the same, has said that it leaves.
    bool isLeaving(const BackendLife& life) const;

private:
    struct NamedLimit {
        BackendLife life;
        RateLimit limit;
    };

    std::map<std::string, NamedLimit> m_limits; ///< by id
    std::deque<BackendLife> m_leaving; ///< in the order of the statements
};

} // namespace robinrun
