#include "Mesh/EmptiedHalls.h"

#include "Core/Log.h"

#include <algorithm>
#include <tuple>

namespace robinrun {
namespace {

    /// Records that were written after the restored copy was made are written again within this time: the
    /// operator writes them when it learns that the store is back, automatically or by hand.
    constexpr Duration rewriteTimeout = 30s;
    constexpr std::size_t maxHalls = 256;
    constexpr std::size_t maxNameBytes = 255;

} // namespace

bool EmptiedHalls::update(const std::string& hall, const Record& record)
{
    if (hall.empty() || hall.size() > maxNameBytes)
        return false;
    const auto it = m_halls.find(hall);
    if (it != m_halls.end() && record.position <= it->second.position)
        return false;
    const bool wasEmptied = it != m_halls.end() && it->second.isEmptied;
    m_halls[hall] = record;
    evictExcessHalls();
    if (wasEmptied == record.isEmptied)
        return false;
    log(LogLevel::Info, record.isEmptied ? "hall-emptied" : "hall-taken-back",
        { { "hall", hall }, { "era", record.position.era }, { "offset", record.position.offset } });
    return true;
}

bool EmptiedHalls::applyPage(const KeyedPage& page, const KeyParser& parseKey)
{
    bool isChanged = false;
    std::set<std::string> present;
    for (const auto& it : page.records) {
        const auto hall = parseKey(it.key);
        if (!hall)
            continue;
        present.insert(*hall);
        isChanged |= update(*hall, { it.at, !it.value.empty() });
    }
    if (page.isWhole)
        isChanged |= updateAbsentHalls(page, present);
    return isChanged;
}

bool EmptiedHalls::updateAbsentHalls(const KeyedPage& page, const std::set<std::string>& present)
{
    bool isChanged = false;
    for (const auto& [hall, record] : m_halls) {
        const bool isOfPageEra = record.position.era == page.next.era;
        if (record.isEmptied && isOfPageEra && !present.contains(hall))
            isChanged |= update(hall, { page.next, false });
    }
    return isChanged;
}

bool EmptiedHalls::applyContact(const proto::NodeContact& contact)
{
    bool isChanged = false;
    for (const auto& it : contact.halls())
        isChanged |= update(it.hall(), { { it.at().era(), it.at().offset() }, it.emptied() });
    return isChanged;
}

bool EmptiedHalls::expireFormerEras(std::uint64_t era, Instant now)
{
    if (era != m_era) {
        m_era = era;
        m_eraNoticedAt = now;
    }
    if (now - m_eraNoticedAt < rewriteTimeout)
        return false;
    bool isChanged = false;
    for (const auto& [hall, record] : m_halls) {
        if (record.isEmptied && record.position.era < era)
            isChanged |= update(hall, { { era, 0 }, false });
    }
    return isChanged;
}

void EmptiedHalls::addToContact(proto::NodeContact& contact) const
{
    for (const auto& [hall, record] : m_halls) {
        auto& out = *contact.add_halls();
        out.set_hall(hall);
        out.set_emptied(record.isEmptied);
        out.mutable_at()->set_era(record.position.era);
        out.mutable_at()->set_offset(record.position.offset);
    }
}

void EmptiedHalls::evictExcessHalls()
{
    while (m_halls.size() > maxHalls) {
        const auto evictsFirst = [](const auto& a, const auto& b) {
            return std::tuple(a.second.isEmptied, a.second.position)
                < std::tuple(b.second.isEmptied, b.second.position);
        };
        m_halls.erase(std::min_element(m_halls.begin(), m_halls.end(), evictsFirst));
    }
}

bool EmptiedHalls::isEmptied(const std::string& hall) const
{
    const auto it = m_halls.find(hall);
    return it != m_halls.end() && it->second.isEmptied;
}

std::set<std::string> EmptiedHalls::emptiedHalls() const
{
    std::set<std::string> out;
    for (const auto& [hall, record] : m_halls) {
        if (record.isEmptied)
            out.insert(hall);
    }
    return out;
}

} // namespace robinrun
