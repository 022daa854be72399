#include "Mesh/AnnouncedUpstream.h"

#include <algorithm>
#include <utility>

namespace robinrun {
namespace {

    /// An announcement may be seconds late, not longer than so many starts of a server.
    constexpr std::size_t rememberedStarts = 64;

} // namespace

bool AnnouncedUpstream::take(const Announcement& announcement)
{
    if (isFormer(announcement.upstream))
        return false;
    if (!m_current || m_current->upstream != announcement.upstream) {
        if (announcement.state == AnnouncedState::Gone) {
            // The last word of a start that was never known: nothing of it may come later.
            addFormer(announcement.upstream);
            return false;
        }
        if (m_current)
            addFormer(m_current->upstream);
        m_current = announcement;
        m_isGuess = false;
        return true;
    }
    const bool wasGuess = std::exchange(m_isGuess, false);
    if (announcement.state == AnnouncedState::Gone) {
        const bool wasLeaving = isLeaving();
        m_current->state = AnnouncedState::Gone;
        return !wasLeaving;
    }
    if (announcement.sequence <= m_current->sequence)
        return false;
    const bool isNews = m_current->state != announcement.state || m_current->slots != announcement.slots
        || m_current->address != announcement.address;
    m_current->sequence = announcement.sequence;
    if (isLeaving() && !wasGuess)
        return false;
    m_current->state = announcement.state;
    m_current->slots = announcement.slots;
    m_current->address = announcement.address;
    return isNews;
}

bool AnnouncedUpstream::found(const Announcement& guess)
{
    if (m_current || isFormer(guess.upstream))
        return false;
    m_current = guess;
    m_isGuess = true;
    return true;
}

bool AnnouncedUpstream::hasLeftBefore(const std::string& upstream)
{
    if (!m_current || m_current->upstream != upstream) {
        addFormer(upstream);
        return false;
    }
    if (isLeaving() && !m_isGuess)
        return false;
    m_isGuess = false;
    m_current->state = AnnouncedState::Draining;
    return true;
}

void AnnouncedUpstream::addFormer(const std::string& upstream)
{
    if (isFormer(upstream))
        return;
    m_former.push_back(upstream);
    if (m_former.size() > rememberedStarts)
        m_former.pop_front();
}

bool AnnouncedUpstream::isFormer(const std::string& upstream) const
{
    return std::find(m_former.begin(), m_former.end(), upstream) != m_former.end();
}

} // namespace robinrun
