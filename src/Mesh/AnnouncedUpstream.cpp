#include "Mesh/AnnouncedUpstream.h"

#include <algorithm>
#include <utility>

namespace robinrun {
namespace {

    /// Announcements can arrive seconds late. 64 lives cover every start of a server within such a delay.
    constexpr std::size_t maxFormerLives = 64;

} // namespace

bool AnnouncedUpstream::applyAnnouncement(const Announcement& announcement)
{
    if (!m_current || m_current->life == announcement.life)
        return m_current ? applyCurrentLife(announcement) : applyOtherLife(announcement);
    const bool isFinal = announcement.state == AnnouncedState::Gone && !announcement.life.hasBorn();
    if (isFinal && announcement.life.id() == m_current->life.id())
        return applyCurrentLife(announcement);
    return applyOtherLife(announcement);
}

bool AnnouncedUpstream::applyOtherLife(const Announcement& announcement)
{
    if (hasEnded(announcement.life))
        return false;
    const bool isGone = announcement.state == AnnouncedState::Gone;
    if (isGone && !(m_current && m_current->life.isBefore(announcement.life))) {
        // This is the final announcement of a life that was never known. Later announcements of that life are
        // ignored.
        addFormerLife(announcement.life);
        return false;
    }
    const auto former = std::exchange(m_current, announcement);
    m_isProvisional = false;
    if (former)
        addFormerLife(former->life);
    if (isGone) {
        // A final announcement holds only the life, so the address and the slots of the previous life are
        // kept.
        m_current->address = former->address;
        m_current->slots = former->slots;
        m_current->version = former->version;
    }
    return true;
}

bool AnnouncedUpstream::applyCurrentLife(const Announcement& announcement)
{
    const bool wasProvisional = std::exchange(m_isProvisional, false);
    if (announcement.state == AnnouncedState::Gone) {
        const bool wasLeaving = isLeaving();
        m_current->state = AnnouncedState::Gone;
        return !wasLeaving;
    }
    if (announcement.sequence <= m_current->sequence)
        return false;
    const bool isChanged = m_current->state != announcement.state || m_current->slots != announcement.slots
        || m_current->address != announcement.address || m_current->version != announcement.version;
    m_current->sequence = announcement.sequence;
    m_current->version = announcement.version;
    if (isLeaving() && !wasProvisional)
        return false;
    m_current->state = announcement.state;
    m_current->slots = announcement.slots;
    m_current->address = announcement.address;
    return isChanged;
}

bool AnnouncedUpstream::applyHealthAnswer(const Announcement& probed)
{
    if (m_current || hasEnded(probed.life))
        return false;
    m_current = probed;
    m_isProvisional = true;
    return true;
}

bool AnnouncedUpstream::markLeaving(const BackendLife& life)
{
    if (!m_current || !(m_current->life == life || m_current->life.isBefore(life))) {
        addFormerLife(life);
        return false;
    }
    if (m_current->life == life && isLeaving() && !m_isProvisional)
        return false;
    m_isProvisional = false;
    m_current->life = life;
    m_current->state = AnnouncedState::Draining;
    return true;
}

bool AnnouncedUpstream::hasEnded(const BackendLife& life) const
{
    if (m_current && life.isBefore(m_current->life))
        return true;
    // The current life has a start time. An announcement without one comes from another sender.
    if (m_current && m_current->life.hasBorn() && !life.hasBorn())
        return true;
    return std::any_of(m_formerLives.begin(), m_formerLives.end(),
        [&](const auto& it) { return it == life || life.isBefore(it); });
}

void AnnouncedUpstream::addFormerLife(const BackendLife& life)
{
    if (std::find(m_formerLives.begin(), m_formerLives.end(), life) != m_formerLives.end())
        return;
    m_formerLives.push_back(life);
    if (m_formerLives.size() > maxFormerLives)
        m_formerLives.pop_front();
}

} // namespace robinrun
