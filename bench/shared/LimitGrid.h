#pragma once

#include "SharedRun.h"

#include <array>
#include <string_view>
#include <vector>

namespace robinrun::bench {

/// \brief Where servers slow down when close to full.
struct Knee {
    std::string_view name;
    double at; ///< share of the slots
    double factor;
};

/// \brief How a server's speed varies by what else runs on its host.
struct Noise {
    std::string_view name;
    double factor;
    Duration phase;
    bool isTold;
};

/// \brief How slow servers are after their start.
struct ColdStart {
    std::string_view name;
    double factor;
    Duration length;
};

/// \brief Loads and servers that the limits on concurrency are compared on: none of them is any site's.
struct LimitCell {
    Knee knee;
    Noise noise;
    ColdStart cold;
    std::uint32_t slots;
    double load; ///< of the capacity at full use of all slots, without the knee

    SharedSite site() const;
};

/// \returns all cells: the full grid of knees, noise, slots and loads without a cold start, and the cold
/// starts with each knee and load at the middle of the others.
std::vector<LimitCell> limitGrid();

inline constexpr std::array knees { Knee { "none", 1, 1 }, Knee { "0.3x1.5", 0.3, 1.5 },
    Knee { "0.3x3", 0.3, 3 }, Knee { "0.5x1.5", 0.5, 1.5 }, Knee { "0.5x3", 0.5, 3 },
    Knee { "0.8x1.5", 0.8, 1.5 }, Knee { "0.8x3", 0.8, 3 } };
inline constexpr std::array noises { Noise { "x2-100ms-told", 2, 100ms, true },
    Noise { "x2-100ms", 2, 100ms, false }, Noise { "x4-300ms-told", 4, 300ms, true },
    Noise { "x4-300ms", 4, 300ms, false }, Noise { "x12-2s-told", 12, 2s, true },
    Noise { "x12-2s", 12, 2s, false } };
inline constexpr std::array colds { ColdStart { "none", 1, 0s }, ColdStart { "3s-x2", 2, 3s },
    ColdStart { "10s-x4", 4, 10s } };
inline constexpr std::array<std::uint32_t, 3> slotCounts { 4, 18, 200 };
inline constexpr std::array gridLoads { 0.4, 0.7, 1.0, 1.3 };
/// Shares of the slots among which the best fixed limit of a cell is searched.
inline constexpr std::array fixedShares { 0.25, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0 };

} // namespace robinrun::bench
