#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"

#include <cstdint>
#include <string_view>

namespace robinrun::bench {

/// \brief How ingresses learn of the load of upstreams, beside the answers to their calls.
enum class News {
    Answers, ///< from answers alone
    Told, ///< owners tell all ingresses when the slow-down changes
    Asked, ///< owners are asked to run a call at once, and say so if they can't
    ToldAndAsked, ///< as the product does
};

} // namespace robinrun::bench

template <> struct robinrun::EnumNames<robinrun::bench::News> {
    static constexpr std::array<std::string_view, 4> names { "answers", "told", "asked", "told-and-asked" };
};

namespace robinrun::bench {

/// \brief Backend servers that share their hosts with others, at the numbers of the users' sheets: work there
/// takes several times as long for some hundred milliseconds at a time.
struct SharedSite {
    std::string_view name;
    std::uint32_t upstreams; ///< of the service that callers call
    std::uint32_t nestedUpstreams; ///< of the service that runs call in turn; 0: they call none
    std::uint32_t halls;
    std::uint32_t slots;
    Duration work; ///< on a calm server
    Duration nestedWork;
    Duration target; ///< a later answer is late
    Duration deadline;
    Duration betweenHalls; ///< one way
    Duration insideHall; ///< one way

    double sigma = 0.3; ///< of work, log-normal
    double nestedShare = 0.7; ///< of runs that make `nestedCalls` together before they end
    std::uint32_t nestedCalls = 2;
    double slowShare = 0.25; ///< of the time that a server is slow
    double slowFactor = 4;
    Duration slowEvery = 300ms; ///< length of a phase
    bool tellsSlowdown = true; ///< servers say with each answer how slow they are
    Duration coldFor {}; ///< after the start of the run, work takes longer ...
    double coldFactor = 1; ///< ... by this factor
    double knee = 0.8; ///< beyond this share of slots in use ...
    double kneeFactor = 1.7; ///< ... a run takes so many times as long

    /// \returns calls/s of callers at which all slots are in use, at the mean speed.
    double capacity() const
    {
        const double meanFactor = 1 + slowShare * (slowFactor - 1);
        const double nested = nestedUpstreams ? nestedShare * toSeconds(nestedWork) : 0;
        const double held = (toSeconds(work) + nested) * meanFactor;
        return static_cast<double>(upstreams) * slots / held;
    }
};

inline constexpr SharedSite rigaCards { "riga-cards", 4, 3, 3, 12, 120ms, 30ms, 400ms, 1s, 900us, 200us };
inline constexpr SharedSite aucklandStatus { "auckland-status", 4, 3, 3, 6, 60ms, 15ms, 200ms, 800ms, 500us,
    200us };

} // namespace robinrun::bench
