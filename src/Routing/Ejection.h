#pragma once

#include "Core/Time.h"
#include "Routing/UpstreamView.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace robinrun {

/// \brief Keeps upstreams that fail out of the choice for a while: a fast error is not a fast server.
///
/// At most `maxShare` of a service's upstreams are out at a time, and when fewer than `panicShare` would be
/// left ejections are passed over (panic): if most look bad, the news is likely wrong or the load is what
/// hurts. After its time an upstream comes back with a slow start; if it fails again it stays out twice as
/// long. Cost: O(upstreams) a decision.
class Ejection {
public:
    struct Options {
        double maxErrorShare = 0.5; ///< ejected above it
        Duration initialDuration = 1s; ///< length of the first ejection
        Duration maxDuration = 30s;
        double maxEjectedShare = 0.5;
        double panicThreshold = 0.34;
    };

    explicit Ejection(Options options)
        : m_options(options)
    {
    }

    /// \brief Judges all upstreams by their errors. \returns indexes that came back now and must warm up.
    std::vector<std::size_t> update(std::span<const UpstreamView> views, Instant now);

    /// \brief Fills \a out with the upstreams that may get new calls: active, not ejected, not \a excluded;
    /// where there are none, all active ones that are not excluded, or the lost ones if none is active.
    void collectCandidates(std::span<const UpstreamView> views, std::span<const std::size_t> excluded,
        Instant now, std::vector<std::size_t>& out) const;

    bool isEjected(std::size_t index, Instant now) const;
    std::size_t ejectedCount(Instant now) const;

private:
    struct Entry {
        std::optional<Instant> ejectedUntil;
        unsigned ejections = 0;
    };

    Options m_options;
    std::vector<Entry> m_entries;
};

} // namespace robinrun
