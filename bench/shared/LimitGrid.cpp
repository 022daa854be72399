#include "LimitGrid.h"

namespace robinrun::bench {

SharedSite LimitCell::site() const
{
    auto out = rigaCards;
    out.name = "grid";
    out.slots = slots;
    out.knee = knee.at;
    out.kneeFactor = knee.factor;
    out.slowFactor = noise.factor;
    out.slowEvery = noise.phase;
    out.tellsSlowdown = noise.isTold;
    out.coldFor = cold.length;
    out.coldFactor = cold.factor;
    return out;
}

std::vector<LimitCell> limitGrid()
{
    std::vector<LimitCell> out;
    for (const auto& knee : knees) {
        for (const auto load : gridLoads) {
            for (const auto slots : slotCounts) {
                for (const auto& noise : noises)
                    out.push_back({ knee, noise, colds[0], slots, load });
            }
            for (std::size_t i = 1; i < colds.size(); ++i)
                out.push_back({ knee, noises[2], colds[i], slotCounts[1], load });
        }
    }
    return out;
}

} // namespace robinrun::bench
