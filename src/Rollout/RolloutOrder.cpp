#include "Rollout/RolloutOrder.h"

#include "Core/Hash.h"

namespace robinrun {

std::uint64_t RolloutOrder::id() const
{
    const auto text = service + '\n' + targetVersion + '\n' + std::to_string(duration.count()) + '\n'
        + std::to_string(position.offset);
    return hash64(text) | 1U;
}

} // namespace robinrun
