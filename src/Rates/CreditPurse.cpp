#include "Rates/CreditPurse.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace robinrun {
namespace {

    /// Over which the demand of a group is averaged.
    constexpr double demandMemorySeconds = 1;
    /// Of what a group should hold, less than this part left is a reason to ask.
    constexpr double lowPart = 0.5;
    /// A group with calls here holds so many for the next ones, if there are enough.
    constexpr std::uint32_t leastHeld = 2;

} // namespace

CreditPurse::CreditPurse(std::string self, CreditHomes& homes, CreditTiming timing)
    : m_self(std::move(self))
    , m_homes(&homes)
    , m_timing(timing)
{
}

std::uint32_t CreditPurse::firstPart(const std::string& name, const Group& group) const
{
    return static_cast<std::uint32_t>(hash64(m_self, hash64(name)) % group.parts);
}

double CreditPurse::demandOf(const Group& group, Instant now)
{
    return group.demand * std::exp(-toSeconds(now - group.counted) / demandMemorySeconds);
}

void CreditPurse::count(Group& group, Instant now)
{
    group.demand = demandOf(group, now) + 1 / demandMemorySeconds;
    group.counted = now;
    group.lastCall = now;
}

void CreditPurse::reopen(Account& account, const std::string& home)
{
    account = {};
    account.home = home;
    account.opened = ++m_lastOpened;
}

void CreditPurse::refresh(const std::string& name, Group& group, Instant now)
{
    for (std::uint32_t part = 0; part < group.parts; ++part) {
        auto& account = group.accounts[part];
        const auto& home = m_homes->homeOf(name, part);
        const bool isTooOld = !account.isEmpty() && now - account.proven >= m_timing.term;
        if (!account.opened || account.home != home || isTooOld)
            reopen(account, home);
    }
}

bool CreditPurse::mayAnswer(const Account& account, Instant now) const
{
    if (account.home.empty() || now < account.shortUntil)
        return false;
    return account.ask ? now - account.asked < m_timing.homePatience : !account.isSilent;
}

CreditPurse::Decision CreditPurse::decide(const std::string& name, Group& group, Instant now)
{
    refresh(name, group, now);
    const auto first = firstPart(name, group);
    bool maySomeAnswer = false;
    auto next = now + m_timing.askAgain;
    for (std::uint32_t i = 0; i < group.parts; ++i) {
        const auto part = (first + i) % group.parts;
        auto& account = group.accounts[part];
        if (account.held() > 0) {
            const auto number = ++m_lastCredit;
            account.unsettled.emplace_back(number, now);
            return { Verdict::Spent, { part, account.opened, number }, {} };
        }
        maySomeAnswer = maySomeAnswer || mayAnswer(account, now);
        if (account.shortUntil > now)
            next = std::min(next, account.shortUntil);
    }
    return { maySomeAnswer ? Verdict::Wait : Verdict::Refused, {}, next - now };
}

CreditPurse::Decision CreditPurse::spend(const std::string& group, std::uint32_t parts, Instant now)
{
    auto& entry = m_groups[group];
    entry.parts = parts;
    count(entry, now);
    return retry(group, now);
}

CreditPurse::Decision CreditPurse::retry(const std::string& group, Instant now)
{
    auto& entry = m_groups[group];
    auto out = decide(group, entry, now);
    if (out.verdict == Verdict::Wait)
        ++entry.waiting;
    return out;
}

void CreditPurse::ran(const std::string& group, const Credit& credit)
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end())
        return;
    auto& account = it->second.accounts[credit.part];
    const auto isIt = [&](const auto& entry) { return entry.first == credit.number; };
    if (isOf(account, credit) && std::erase_if(account.unsettled, isIt))
        ++account.used;
}

void CreditPurse::giveBack(const std::string& group, const Credit& credit, Instant now)
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end())
        return;
    auto& account = it->second.accounts[credit.part];
    if (!isOf(account, credit) || now - account.proven >= m_timing.term)
        return;
    std::erase_if(account.unsettled, [&](const auto& entry) { return entry.first == credit.number; });
}

void CreditPurse::settle(Account& account, Instant now) const
{
    while (!account.unsettled.empty() && now - account.unsettled.front().second >= m_timing.settleAfter) {
        account.unsettled.pop_front();
        ++account.used;
    }
}

std::uint32_t CreditPurse::wantedBy(const Group& group, Instant now) const
{
    if (now - group.lastCall >= m_timing.idleAfter)
        return 0;
    const double ahead = demandOf(group, now) * toSeconds(m_timing.horizon);
    return leastHeld + group.waiting + static_cast<std::uint32_t>(ahead);
}

bool CreditPurse::isDue(
    const Account& account, std::uint32_t wanted, std::uint32_t waiting, Instant now) const
{
    if (account.home.empty())
        return false;
    if (account.ask && now - account.asked < m_timing.askAgain)
        return false;
    if (!account.isEmpty() && now - account.proven >= m_timing.renewEvery)
        return true;
    if (!wanted)
        return account.held() > 0;
    const bool isLow = static_cast<double>(account.held()) < lowPart * wanted;
    return (waiting || isLow) && now >= account.shortUntil;
}

void CreditPurse::addAsk(std::map<std::string, Ask>& out, const Need& need, Instant now)
{
    auto& account = *need.account;
    settle(account, now);
    if (!need.wanted)
        account.returned += account.held();
    auto& ask = out[account.home];
    if (ask.home.empty()) {
        ask.home = account.home;
        ask.message.set_number(++m_lastAsk);
    }
    account.ask = ask.message.number();
    account.asked = now;
    auto& told = *ask.message.add_accounts();
    told.set_group(*need.group);
    told.set_part(need.part);
    told.set_opened(account.opened);
    told.set_used(account.used);
    told.set_returned(account.returned);
    told.set_wanted(need.wanted ? need.wanted + static_cast<std::uint32_t>(account.unsettled.size()) : 0);
    told.set_waiting(need.waiting);
}

std::vector<CreditPurse::Need> CreditPurse::needs(Instant now)
{
    std::vector<Need> out;
    for (auto& [name, group] : m_groups) {
        refresh(name, group, now);
        const auto wanted = wantedBy(group, now);
        const auto first = firstPart(name, group);
        bool isEnough = false;
        for (std::uint32_t i = 0; i < group.parts; ++i) {
            const auto part = (first + i) % group.parts;
            auto& account = group.accounts[part];
            const auto share = isEnough ? 0 : wanted;
            const auto waiting = isEnough ? 0 : group.waiting;
            account.isSilent
                = account.isSilent || (account.ask && now - account.asked >= m_timing.homePatience);
            const bool isWeak = now < account.weakUntil || account.isSilent;
            if (isDue(account, share, waiting, now))
                out.push_back({ &name, part, &account, share, waiting });
            isEnough = isEnough || !isWeak;
        }
    }
    return out;
}

std::vector<CreditPurse::Ask> CreditPurse::asks(Instant now)
{
    // A lender is told of all groups together, at its time or when a call waits.
    const auto all = needs(now);
    std::set<std::string> lenders;
    for (const auto& it : all) {
        if (it.waiting || now - m_lastAsked[it.account->home] >= m_timing.askEvery)
            lenders.insert(it.account->home);
    }
    std::map<std::string, Ask> out;
    for (const auto& it : all) {
        if (lenders.contains(it.account->home))
            addAsk(out, it, now);
    }
    std::erase_if(m_groups, [&](const auto& it) { return isOver(it.second, now); });
    std::vector<Ask> asks;
    asks.reserve(out.size());
    for (auto& [home, ask] : out) {
        m_lastAsked[home] = now;
        asks.push_back(std::move(ask));
    }
    return asks;
}

bool CreditPurse::isOver(const Group& group, Instant now) const
{
    const auto isEmpty = [](const Account& account) { return account.isEmpty(); };
    const auto end = group.accounts.begin() + group.parts;
    return !wantedBy(group, now) && std::all_of(group.accounts.begin(), end, isEmpty);
}

void CreditPurse::unsent(const Ask& ask)
{
    for (const auto& told : ask.message.accounts()) {
        const auto it = m_groups.find(told.group());
        if (it == m_groups.end())
            continue;
        auto& account = it->second.accounts[told.part()];
        if (account.ask == ask.message.number())
            account.ask = 0;
    }
}

std::vector<std::string> CreditPurse::take(
    const std::string& home, const proto::CreditGrants& grants, Instant now)
{
    std::vector<std::string> out;
    for (const auto& grant : grants.grants()) {
        const auto it = m_groups.find(grant.group());
        if (it == m_groups.end() || grant.part() >= mostRateParts)
            continue;
        auto& account = it->second.accounts[grant.part()];
        if (account.home != home || account.opened != grant.opened())
            continue;
        account.isSilent = false;
        if (grants.number() == account.ask) {
            account.ask = 0;
            account.proven = account.asked;
            const auto pause = std::chrono::milliseconds(grant.next_ms());
            account.shortUntil = grant.next_ms() ? now + pause : Instant {};
            if (grant.next_ms())
                account.weakUntil = now + m_timing.mostShort;
        }
        account.lent = std::max(account.lent, grant.lent());
        it->second.waiting = 0;
        out.push_back(grant.group());
    }
    return out;
}

} // namespace robinrun
