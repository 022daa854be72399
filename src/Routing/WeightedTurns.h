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
class WeightedTurns {
public:
    using Split = std::vector<std::pair<std::string, double>>;

    explicit WeightedTurns(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// \returns the part of \a split whose turn it is; "" if there is none.
    std::string next(const std::string& route, const Split& split)
    {
        if (split.size() <= 1)
            return split.empty() ? std::string() : split.front().first;
        auto& turns = m_turns[route];
        if (turns.split != split) {
            turns = { split, std::vector<double>(split.size(), 0) };
            for (auto i = m_random.below(longestSequence); i > 0; --i)
                takeTurn(turns);
        }
        return split[takeTurn(turns)].first;
    }

private:
    /// Weights in steps of a thousandth repeat after so many turns at most.
    static constexpr std::size_t longestSequence = 1000;

    struct Turns {
        Split split;
        std::vector<double> credit;
    };

    /// \returns the place of the part whose turn it is.
    static std::size_t takeTurn(Turns& turns)
    {
        double total = 0;
        std::size_t best = 0;
        for (std::size_t i = 0; i < turns.split.size(); ++i) {
            total += turns.split[i].second;
            turns.credit[i] += turns.split[i].second;
            if (turns.credit[i] > turns.credit[best])
                best = i;
        }
        turns.credit[best] -= total;
        return best;
    }

    Random m_random;
    std::unordered_map<std::string, Turns> m_turns;
};

} // namespace robinrun
