#pragma once

#include "Core/Random.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace robinrun {

/// \brief Distributes the calls of split routes over their targets by weight, with smooth weighted round
/// robin.
///
/// With two targets, each gets its share of any n calls of a route to within one call. A new or changed split
/// starts at a random position of the sequence. If all nodes started at the same position and saw few calls
/// each, most calls would go to the target with the largest weight. Cost: O(targets); for the first call of a
/// split up to 1,000 times as much.
class WeightedRoundRobin {
public:
    using Split = std::vector<std::pair<std::string, double>>; ///< targets and their weights

    explicit WeightedRoundRobin(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// \returns the target of the next call of \a route; "" if \a split is empty.
    std::string nextTarget(const std::string& route, const Split& split)
    {
        if (split.size() <= 1)
            return split.empty() ? std::string() : split.front().first;
        auto& state = m_stateByRoute[route];
        if (state.split != split) {
            state = { split, std::vector<double>(split.size(), 0) };
            for (auto i = m_random.below(maxSequenceLength); i > 0; --i)
                advance(state);
        }
        return split[advance(state)].first;
    }

private:
    /// The sequence repeats after at most this many calls if the weights are multiples of a thousandth.
    static constexpr std::size_t maxSequenceLength = 1000;

    struct RouteState {
        Split split;
        std::vector<double> currentWeights;
    };

    /// \brief Advances the sequence by one call. \returns the index of the target that gets the call.
    static std::size_t advance(RouteState& state)
    {
        double totalWeight = 0;
        std::size_t selected = 0;
        for (std::size_t i = 0; i < state.split.size(); ++i) {
            totalWeight += state.split[i].second;
            state.currentWeights[i] += state.split[i].second;
            if (state.currentWeights[i] > state.currentWeights[selected])
                selected = i;
        }
        state.currentWeights[selected] -= totalWeight;
        return selected;
    }

    Random m_random;
    std::unordered_map<std::string, RouteState> m_stateByRoute;
};

} // namespace robinrun
