#pragma once

#include "Mesh/Announcement.h"

#include <deque>
#include <optional>

namespace robinrun {

/// \brief Tracks the backend server beside this node by its announcements. Late and duplicate announcements
/// have no effect.
///
/// A life (BackendLife) is one run of the server process. The latest life is the current one, regardless of
/// its sequence numbers and of the order in which announcements arrive. Lives without a start time cannot be
/// ordered: of these, the life announced last is current, and a replaced life never becomes current again. A
/// life that has announced that it is leaving stays in that state: a later announcement that says "ready" was
/// delayed in transit. A final announcement without a start time applies to the current life of its id,
/// because sending calls to a stopped server costs more than leaving out a running one until it restarts.
/// Cost: O(former lives); the last 64 are kept.
class AnnouncedUpstream {
public:
    /// \brief Applies an announcement of the server.
    /// \returns whether the state has changed.
    bool applyAnnouncement(const Announcement& announcement);

    /// \brief Applies the server's health answer, which names the server's id before the first announcement
    /// arrives. An answer that says that the server leaves holds until the next announcement.
    /// \returns whether the state has changed.
    bool applyHealthAnswer(const Announcement& probed);

    /// \brief Marks \a life as leaving because an earlier incarnation of this node has acknowledged that.
    /// \returns whether the state has changed.
    bool markLeaving(const BackendLife& life);

    /// \returns the last known state of the current life; nothing before the first announcement or health
    /// answer.
    const std::optional<Announcement>& current() const { return m_current; }
    /// \returns whether only a health answer of the current life has arrived, no announcement.
    bool isProvisional() const { return m_isProvisional; }
    bool isLeaving() const { return m_current && m_current->state != AnnouncedState::Ready; }

private:
    /// \returns whether \a life is known to have ended.
    bool hasEnded(const BackendLife& life) const;
    bool applyOtherLife(const Announcement& announcement);
    bool applyCurrentLife(const Announcement& announcement);
    /// \brief Records a life that has left or was replaced. The last 64 such lives are kept.
    void addFormerLife(const BackendLife& life);

    std::optional<Announcement> m_current;
    bool m_isProvisional = false; ///< only a health answer of the current life has arrived, no announcement
    std::deque<BackendLife> m_formerLives;
};

} // namespace robinrun
