#include "Mesh/AnnouncedUpstream.h"

#include <algorithm>
#include <utility>

namespace robinrun {
namespace {

    /// An announcement may be seconds late, not longer than so many starts of a server.
    constexpr std::size_t rememberedLives = 64;

} // namespace

bool AnnouncedUpstream::take(const Announcement& announcement)
{
    if (!m_current || m_current->life == announcement.life)
        return m_current ? takeOfCurrent(announcement) : takeNext(announcement);
    const bool isLastWord = announcement.state == AnnouncedState::Gone && !announcement.life.hasBorn();
    if (isLastWord && announcement.life.id() == m_current->life.id())
        return takeOfCurrent(announcement);
    return takeNext(announcement);
}

bool AnnouncedUpstream::takeNext(const Announcement& announcement)
{
    if (isOver(announcement.life))
        return false;
    const bool isGone = announcement.state == AnnouncedState::Gone;
    if (isGone && !(m_current && m_current->life.isBefore(announcement.life))) {
        // The last word of a life that was never known: nothing of it may come later.
        addFormer(announcement.life);
        return false;
    }
    const auto former = std::exchange(m_current, announcement);
    m_isGuess = false;
    if (former)
        addFormer(former->life);
    if (isGone) {
        // A last word names nothing but its life.
        m_current->address = former->address;
        m_current->slots = former->slots;
    }
    return true;
}

bool AnnouncedUpstream::takeOfCurrent(const Announcement& announcement)
{
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
    if (m_current || isOver(guess.life))
        return false;
    m_current = guess;
    m_isGuess = true;
    return true;
}

bool AnnouncedUpstream::hasLeftBefore(const BackendLife& life)
{
    if (!m_current || !(m_current->life == life || m_current->life.isBefore(life))) {
        addFormer(life);
        return false;
    }
    if (m_current->life == life && isLeaving() && !m_isGuess)
        return false;
    m_isGuess = false;
    m_current->life = life;
    m_current->state = AnnouncedState::Draining;
    return true;
}

bool AnnouncedUpstream::isOver(const BackendLife& life) const
{
    if (m_current && life.isBefore(m_current->life))
        return true;
    // One that says no start, where the present life says one, is of another writer.
    if (m_current && m_current->life.hasBorn() && !life.hasBorn())
        return true;
    return std::any_of(
        m_former.begin(), m_former.end(), [&](const auto& it) { return it == life || life.isBefore(it); });
}

void AnnouncedUpstream::addFormer(const BackendLife& life)
{
    if (std::find(m_former.begin(), m_former.end(), life) != m_former.end())
        return;
    m_former.push_back(life);
    if (m_former.size() > rememberedLives)
        m_former.pop_front();
}

} // namespace robinrun
