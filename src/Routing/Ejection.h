#pragma once

#include "Core/Time.h"
#include "Routing/UpstreamView.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace robinrun {

/// \brief Outlier ejection: excludes failing upstreams from the choice for a limited time.
///
/// Without it, an upstream that fails fast would look like a fast one and attract calls. At most
/// `maxEjectedShare` of the upstreams of a service are ejected at a time. If less than `panicThreshold` of
/// the active upstreams would be left, ejections are ignored (panic mode): when most upstreams fail, the
/// reports are likely wrong or the cause is overload. An upstream returns with a slow start. Its next
/// ejection lasts twice as long, unless its share of errors has fallen below a tenth of the maximum before.
/// Cost: O(upstreams) per decision.
class Ejection {
public:
    struct Options {
        double maxErrorShare = 0.5; ///< an upstream with a larger share of errors is ejected
        Duration initialDuration = 1s; ///< of the first ejection
        Duration maxDuration = 30s;
        double maxEjectedShare = 0.5; ///< of the upstreams of the service
        double panicThreshold = 0.34; ///< share of the active upstreams below which ejections are ignored
    };

    explicit Ejection(Options options)
        : m_options(options)
    {
    }

    /// \brief Ejects upstreams by their share of errors and ends expired ejections.
    /// \returns the indexes of the upstreams whose ejection ended with this call; they need a slow start.
    std::vector<std::size_t> update(std::span<const UpstreamView> views, Instant now);

    /// \brief Fills \a out with the indexes of the upstreams that may get new calls: those that are active,
    /// available, not ejected and not \a excluded. In panic mode, or if there are none, fills it with all
    /// active upstreams that are not excluded, or with the lost ones if no upstream is active.
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
