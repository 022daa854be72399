#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace robinrun {

/// \brief Deals the calls of split routes out by weight: smooth weighted round robin.
///
/// Of any n calls of one route each part gets its share to within one call. A changed split starts anew.
/// Cost: O(parts).
class WeightedTurns {
public:
    using Split = std::vector<std::pair<std::string, double>>;

    /// \returns the part of \a split whose turn it is; "" if there is none.
    std::string next(const std::string& route, const Split& split)
    {
        if (split.size() <= 1)
            return split.empty() ? std::string() : split.front().first;
        auto& turns = m_turns[route];
        if (turns.split != split)
            turns = { split, std::vector<double>(split.size(), 0) };
        double total = 0;
        std::size_t best = 0;
        for (std::size_t i = 0; i < split.size(); ++i) {
            total += split[i].second;
            turns.credit[i] += split[i].second;
            if (turns.credit[i] > turns.credit[best])
                best = i;
        }
        turns.credit[best] -= total;
        return split[best].first;
    }

private:
    struct Turns {
        Split split;
        std::vector<double> credit;
    };
    std::unordered_map<std::string, Turns> m_turns;
};

} // namespace robinrun
