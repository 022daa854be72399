#pragma once

#include "Core/Ewma.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief Estimates how many nested calls a backend server makes to each other service while it runs one call
/// of a class.
///
/// A call that runs twice makes its nested calls twice, so a retry is also charged to the retry budgets of
/// those services. Cost: O(log classes + services called).
class NestedCallEstimate {
public:
    using Counts = std::map<std::string, double, std::less<>>; ///< calls by service
    using MeanCounts = std::map<std::string, Ewma, std::less<>>;

    /// \brief Records that a run of a call of \a callClass made the nested calls in \a counts.
    void addRun(std::string_view callClass, const Counts& counts)
    {
        auto it = m_meansByClass.find(callClass);
        if (it == m_meansByClass.end())
            it = m_meansByClass.emplace(std::string(callClass), MeanCounts()).first;
        for (const auto& [service, n] : counts)
            it->second.try_emplace(service, sampleWeight);
        for (auto& [service, mean] : it->second) {
            const auto n = counts.find(service);
            mean.add(n == counts.end() ? 0 : n->second);
        }
    }

    /// \returns the mean number of nested calls of a run, by service; empty if no run has been recorded.
    const MeanCounts& meanCounts(std::string_view callClass) const
    {
        static const MeanCounts empty;
        const auto it = m_meansByClass.find(callClass);
        return it == m_meansByClass.end() ? empty : it->second;
    }

private:
    static constexpr double sampleWeight = 0.05;

    std::map<std::string, MeanCounts, std::less<>> m_meansByClass;
};

} // namespace robinrun
