#pragma once

#include "Core/Ewma.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief How many calls backend servers make to other services for one call of a class.
///
/// A call that runs twice makes them twice; so a retry is paid for at those services as well.
/// Cost: O(log classes + services called).
class NestedCalls {
public:
    using Counts = std::map<std::string, double, std::less<>>; ///< calls by service
    using Means = std::map<std::string, Ewma, std::less<>>;

    /// \brief A call of \a callClass has run and made the calls in \a counts.
    void ran(std::string_view callClass, const Counts& counts)
    {
        auto it = m_classes.find(callClass);
        if (it == m_classes.end())
            it = m_classes.emplace(std::string(callClass), Means()).first;
        for (const auto& [service, n] : counts)
            it->second.try_emplace(service, sampleWeight);
        for (auto& [service, mean] : it->second) {
            const auto n = counts.find(service);
            mean.add(n == counts.end() ? 0 : n->second);
        }
    }

    /// \returns the mean number of calls by service.
    const Means& of(std::string_view callClass) const
    {
        static const Means none;
        const auto it = m_classes.find(callClass);
        return it == m_classes.end() ? none : it->second;
    }

private:
    static constexpr double sampleWeight = 0.05;

    std::map<std::string, Means, std::less<>> m_classes;
};

} // namespace robinrun
