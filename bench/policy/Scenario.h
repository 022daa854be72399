#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace robinrun::bench {

/// \brief One service of a site, at the numbers of the users' page. Service times are log-normal.
struct Deployment {
    std::string_view name;
    std::uint32_t upstreams;
    std::uint32_t ingresses;
    std::uint32_t halls;
    std::uint32_t slots;
    Duration meanService;
    double sigma;
    Duration betweenHalls; ///< one way
    Duration insideHall; ///< one way
    Duration deadline;
    double probesPerSecond; ///< default budget per upstream
    double probeSlotShare;
    Duration probeCost; ///< slot time of one probe
    bool hedges = true;

    /// \returns calls/s that all slots can serve.
    double capacity() const { return upstreams * slots / toSeconds(meanService); }
};

inline constexpr Deployment riga { "riga", 4, 13, 3, 12, 10ms, 0.5, 1ms, 50us, 2s, 2, 0.005, 1ms };
inline constexpr Deployment auckland { "auckland", 4, 13, 3, 6, 25ms, 0.5, 500us, 50us, 2s, 0.6, 0.001, 1ms };

enum class ScenarioKind {
    Steady50,
    Steady70,
    Steady90,
    Slow200ms,
    Slow10s,
    FailFast,
    ColdStart,
    Draining,
    NoisyGroup,
    FlashCrowd,
    LyingLoad,
    HallLost,
    SlowAndNoisy,
};

} // namespace robinrun::bench

template <> struct robinrun::EnumNames<robinrun::bench::ScenarioKind> {
    static constexpr std::array<std::string_view, 13> names { "steady-50", "steady-70", "steady-90",
        "slow-200ms", "slow-10s", "fail-fast", "cold-start", "draining", "noisy-group", "flash-crowd",
        "lying-load", "hall-lost", "slow-and-noisy" };
};

namespace robinrun::bench {

/// \brief Offered load of one group, as a share of the service's capacity.
struct GroupLoad {
    double share; ///< of capacity
    double weight; ///< entitled share
    bool isVictim; ///< the polite group that is watched
};

/// \brief What happens in a run, and when.
struct Scenario {
    ScenarioKind kind;
    Duration length = 20s;
    Duration faultStart = 5s;
    Duration faultEnd = 15s;
    std::vector<GroupLoad> groups;
    double crowdFactor = 1; ///< load x this from faultStart to faultEnd

    bool has(ScenarioKind single) const { return kind == single; }
    bool isSlow() const
    {
        return kind == ScenarioKind::Slow200ms || kind == ScenarioKind::Slow10s
            || kind == ScenarioKind::SlowAndNoisy;
    }
    bool isNoisy() const { return kind == ScenarioKind::NoisyGroup || kind == ScenarioKind::SlowAndNoisy; }
};

/// \returns the scenario of \a kind. \param isAlone leaves out the noisy group, to see the polite one by
/// itself.
inline Scenario makeScenario(ScenarioKind kind, bool isAlone)
{
    constexpr double faultLoad = 0.6;
    constexpr double politeLoad = 0.3;
    constexpr double noisyLoad = 5; // ten times an entitled half
    Scenario s;
    s.kind = kind;
    s.groups = { { faultLoad / 2, 1, true }, { faultLoad / 2, 1, false } };
    const auto steady = [&s](double load) { s.groups = { { load / 2, 1, true }, { load / 2, 1, false } }; };
    switch (kind) {
    case ScenarioKind::Steady50:
        steady(0.5);
        break;
    case ScenarioKind::Steady70:
    case ScenarioKind::LyingLoad:
        steady(0.7);
        break;
    case ScenarioKind::Steady90:
        steady(0.9);
        break;
    case ScenarioKind::Slow200ms:
        s.faultEnd = s.faultStart + 200ms;
        break;
    case ScenarioKind::FlashCrowd:
        s.faultEnd = s.faultStart + 2s;
        s.crowdFactor = 3;
        break;
    case ScenarioKind::NoisyGroup:
    case ScenarioKind::SlowAndNoisy:
        s.length = 12s;
        s.faultEnd = 10s;
        s.groups = { { politeLoad, 1, true } };
        if (!isAlone)
            s.groups.push_back({ noisyLoad, 1, false });
        break;
    default:
        break;
    }
    return s;
}

} // namespace robinrun::bench
