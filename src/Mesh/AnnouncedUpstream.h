#pragma once

#include "Mesh/Announcement.h"

#include <deque>
#include <optional>
#include <string>

namespace robinrun {

/// \brief The backend server beside this node, as it announces itself; late and repeated announcements change
/// nothing.
///
/// A start of the server that has said it leaves does not come back: an announcement that says otherwise was
/// held up on its way. A new start takes the place of the former one at once.
/// Cost: O(log former starts); their ids are kept for the life of the process.
class AnnouncedUpstream {
public:
    /// \returns whether anything has changed.
    bool take(const Announcement& announcement);

    /// \brief The server's health answer tells which start of it runs, before any announcement has come. If
    /// it says unwell, the next announcement decides whether it leaves.
    /// \returns whether anything has changed.
    bool found(const Announcement& guess);

    /// \brief A former life of this node has acknowledged that the start \a upstream leaves.
    /// \returns whether anything has changed.
    bool hasLeftBefore(const std::string& upstream);

    /// \returns what is known of the present start; nothing if the server was not heard of yet.
    const std::optional<Announcement>& current() const { return m_current; }
    bool isLeaving() const { return m_current && m_current->state != AnnouncedState::Ready; }

private:
    std::optional<Announcement> m_current;
    bool m_isGuess = false; ///< no announcement of the present start has come yet
    /// \brief Remembers a start that has left or was replaced; the last ones are kept.
    void addFormer(const std::string& upstream);
    bool isFormer(const std::string& upstream) const;

    std::deque<std::string> m_former;
};

} // namespace robinrun
