#include "Mesh/EmptiedHalls.h"

#include "Core/Log.h"

#include <algorithm>
#include <tuple>

namespace robinrun {
namespace {

    /// What was written between the copy and the store's end is written again by then: the operator does it
    /// when it hears of the return, at once or by hand.
    constexpr Duration writtenAgainWithin = 30s;
    constexpr std::size_t mostHalls = 256;
    constexpr std::size_t longestName = 255;

} // namespace

bool EmptiedHalls::put(const std::string& hall, const Record& record)
{
    if (hall.empty() || hall.size() > longestName)
        return false;
    const auto it = m_halls.find(hall);
    if (it != m_halls.end() && record.at <= it->second.at)
        return false;
    const bool wasEmptied = it != m_halls.end() && it->second.isEmptied;
    m_halls[hall] = record;
    keepFew();
    if (wasEmptied == record.isEmptied)
        return false;
    log(LogLevel::Info, record.isEmptied ? "hall-emptied" : "hall-taken-back",
        { { "hall", hall }, { "era", record.at.era }, { "offset", record.at.offset } });
    return true;
}

bool EmptiedHalls::take(const KeyedPage& page, const HallOf& hallOf)
{
    bool isChanged = false;
    std::set<std::string> present;
    for (const auto& it : page.records) {
        const auto hall = hallOf(it.key);
        if (!hall)
            continue;
        present.insert(*hall);
        isChanged |= put(*hall, { it.at, !it.value.empty() });
    }
    if (page.isWhole)
        isChanged |= takeAbsent(page, present);
    return isChanged;
}

bool EmptiedHalls::takeAbsent(const KeyedPage& page, const std::set<std::string>& present)
{
    bool isChanged = false;
    for (const auto& [hall, record] : m_halls) {
        const bool isOfThisEra = record.at.era == page.next.era;
        if (record.isEmptied && isOfThisEra && !present.contains(hall))
            isChanged |= put(hall, { page.next, false });
    }
    return isChanged;
}

bool EmptiedHalls::heard(const proto::NodeContact& contact)
{
    bool isChanged = false;
    for (const auto& it : contact.halls())
        isChanged |= put(it.hall(), { { it.at().era(), it.at().offset() }, it.emptied() });
    return isChanged;
}

bool EmptiedHalls::tick(std::uint64_t era, Instant now)
{
    if (era != m_era) {
        m_era = era;
        m_eraBegan = now;
    }
    if (now - m_eraBegan < writtenAgainWithin)
        return false;
    bool isChanged = false;
    for (const auto& [hall, record] : m_halls) {
        if (record.isEmptied && record.at.era < era)
            isChanged |= put(hall, { { era, 0 }, false });
    }
    return isChanged;
}

void EmptiedHalls::tell(proto::NodeContact& contact) const
{
    for (const auto& [hall, record] : m_halls) {
        auto& out = *contact.add_halls();
        out.set_hall(hall);
        out.set_emptied(record.isEmptied);
        out.mutable_at()->set_era(record.at.era);
        out.mutable_at()->set_offset(record.at.offset);
    }
}

void EmptiedHalls::keepFew()
{
    while (m_halls.size() > mostHalls) {
        const auto isLess = [](const auto& a, const auto& b) {
            return std::tuple(a.second.isEmptied, a.second.at) < std::tuple(b.second.isEmptied, b.second.at);
        };
        m_halls.erase(std::min_element(m_halls.begin(), m_halls.end(), isLess));
    }
}

bool EmptiedHalls::isEmptied(const std::string& hall) const
{
    const auto it = m_halls.find(hall);
    return it != m_halls.end() && it->second.isEmptied;
}

std::set<std::string> EmptiedHalls::emptied() const
{
    std::set<std::string> out;
    for (const auto& [hall, record] : m_halls) {
        if (record.isEmptied)
            out.insert(hall);
    }
    return out;
}

} // namespace robinrun
