#pragma once

#include "Core/BackendLife.h"
#include "Core/Time.h"
#include "Mesh/Announcement.h"
#include "Mesh/FormerLeaves.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace robinrun {

/// \brief Decides whether a node that has just started believes that the backend server beside it is ready.
///
/// A former process of the node may have acknowledged that the server leaves, and an announcement from before
/// may still be on its way. So the first "ready" needs a proof: knowledge of the former leaves
/// (FormerLeaves), a health answer that agrees, or a series of announcements that lasts longer than one can
/// be late. After one proof all announcements are believed: a leave since then is known to this process. Does
/// no I/O. Cost: O(log lives) per announcement until there is a proof; 8 lives are kept.
/// \sa docs/design/leaving.md
class ReadyProof {
public:
    /// How late an announcement may arrive.
    static constexpr Duration maxDelay = 5s;
    /// How long announcements have to go on if a health answer agrees and nothing is known of former leaves.
    static constexpr Duration agreedSeries = maxDelay / 2;

    /// \brief Judges the announcement \a ready, and keeps it if it is not believed yet.
    /// \returns whether it may be applied.
    bool admitAnnouncement(const Announcement& ready, LeaveKnowledge known, Instant now);

    /// \brief Judges a health answer by which the server with the id \a upstream is well.
    /// \returns whether it may be applied.
    bool admitHealthAnswer(const std::string& upstream, LeaveKnowledge known);

    /// \brief Returns the last announcement that was not believed, if peers have told of the former leaves
    /// since. It is returned once.
    std::optional<Announcement> releaseWithheld(LeaveKnowledge known);

    /// \returns the withheld announcement of the life with the id \a upstream, once; nothing if the last one
    /// that was withheld is of another life.
    std::optional<Announcement> takeWithheld(const std::string& upstream);

    /// \returns whether an announcement is withheld.
    bool isWithholding() const { return m_withheld.has_value(); }

private:
    struct Series {
        Instant began {};
        Instant last {};
        std::uint64_t sequence = 0; ///< of the last announcement
    };

    void setProven();
    bool isProvenBySeries(const Announcement& ready, Instant now);

    bool m_isProven = false;
    std::optional<Announcement> m_withheld;
    std::map<std::string, Series> m_series; ///< by key of the life
};

} // namespace robinrun
