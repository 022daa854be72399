#pragma once

#include "Mesh/Announcement.h"

#include <deque>
#include <optional>

namespace robinrun {

/// \brief The backend server beside this node, as it announces itself; late and repeated announcements change
/// nothing.
///
/// The latest life (BackendLife) counts, whatever its counts and in whichever order lives are heard. Lives
/// that say no start can't be ordered: there the one heard last counts, and one that was replaced does not
/// come back. A life that has said it leaves does not come back either: an announcement that says otherwise
/// was held up on its way. A last word that names no start is taken for the present life of its id, since
/// sending to a server that is gone costs more than leaving one out until it starts again.
/// Cost: O(former lives); the last 64 are kept.
class AnnouncedUpstream {
public:
    /// \returns whether anything has changed.
    bool applyAnnouncement(const Announcement& announcement);

    /// \brief The server's health answer tells which id it goes by, before any announcement has come. If it
    /// says unwell, the next announcement decides whether it leaves.
    /// \returns whether anything has changed.
    bool applyHealthAnswer(const Announcement& probed);

    /// \brief A former life of this node has acknowledged that \a life leaves.
    /// \returns whether anything has changed.
    bool markLeaving(const BackendLife& life);

    /// \returns what is known of the present life; nothing if the server was not heard of yet.
    const std::optional<Announcement>& current() const { return m_current; }
    bool isLeaving() const { return m_current && m_current->state != AnnouncedState::Ready; }

private:
    /// \returns whether \a life is known to be over.
    bool hasEnded(const BackendLife& life) const;
    bool applyOtherLife(const Announcement& announcement);
    bool applyCurrentLife(const Announcement& announcement);
    /// \brief Remembers a life that has left or was replaced; the last ones are kept.
    void addFormerLife(const BackendLife& life);

    std::optional<Announcement> m_current;
    bool m_isProvisional = false; ///< no announcement of the present life has come yet
    std::deque<BackendLife> m_formerLives;
};

} // namespace robinrun
