#pragma once

#include "Core/Random.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace robinrun {

/// \brief Deals the calls of split routes out by weight: smooth weighted round robin.
///
/// Of any n calls of one route each of two parts gets its share to within one call. A changed split starts
/// anew, each node at another point of the sequence: where many nodes see few calls each, the first of all
/// of them would go to the largest part otherwise.
/// Cost: O(parts); the first call of a split up to 1,000 times as much.
class WeightedRoundRobin {
public:
    using Split = std::vector<std::pair<std::string, double>>;

    explicit WeightedRoundRobin(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// \returns the part of \a split whose turn it is; "" if there is none.
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
    /// Weights in steps of a thousandth repeat after so many turns at most.
    static constexpr std::size_t maxSequenceLength = 1000;

    struct RouteState {
        Split split;
        std::vector<double> currentWeights;
    };

    /// \returns the place of the part whose turn it is.
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
