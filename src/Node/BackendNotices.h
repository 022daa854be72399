#pragma once

#include "Core/BackendLife.h"
#include "Core/Time.h"
#include "Node/BackendReply.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace robinrun {

/// \brief What backend servers have stated about themselves in the answers that this ingress has passed on.
///
/// An owner that restarts forgets what its server has stated. The ingresses remember: they tell the owner of
/// a limit with each call, and never again send a call to a life of a server that is leaving, whatever its
/// owner says. At most `maxEntries` of either kind are kept, the latest ones. Cost: O(1) while no server has
/// stated anything, else O(log entries).
class BackendNotices {
public:
    static constexpr std::size_t maxEntries = 4096;

    /// A rate limit as it was named last.
    struct RateLimit {
        double requestsPerSecond = 0;
        Instant heardAt {};
    };

    /// \brief Records the statement of the life \a upstream. \returns whether it is the first to say that the
    /// life leaves.
    /// \param upstream key of a life; see BackendLife::key().
    bool add(const std::string& upstream, const BackendStatement& statement, Instant now);

    /// \returns the limit that the life \a upstream, or a life of its id that may be the same, has named
    /// last; nothing if it names none.
    std::optional<RateLimit> rateLimitOf(const std::string& upstream) const;

    /// \returns whether the life \a upstream, or a life of its id that may be the same, has said that it
    /// leaves.
    bool isLeaving(const std::string& upstream) const;

private:
    struct NamedLimit {
        BackendLife life;
        RateLimit limit;
    };

    void setRateLimit(const BackendLife& life, const BackendStatement& statement, Instant now);

    std::map<std::string, NamedLimit> m_limits; ///< by id
    std::map<std::string, std::set<std::uint64_t>> m_leaving; ///< start times of lives, by id
    std::deque<BackendLife> m_leavingOrder; ///< of the statements
};

} // namespace robinrun
