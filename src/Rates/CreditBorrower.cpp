#include "Rates/CreditBorrower.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace robinrun {
namespace {

    /// Time constant of the exponentially decaying average of a group's call rate.
    constexpr double demandTimeConstantSeconds = 1;
    /// More credits are requested once less than this fraction of the target is left.
    constexpr double lowWaterFraction = 0.5;
    /// Minimum target of a group with recent calls at this node.
    constexpr std::uint32_t minHeldCredits = 2;
    /// Fewer requests without an answer may all have been lost on the way.
    constexpr std::uint32_t minUnansweredRequests = 4;

} // namespace

CreditBorrower::CreditBorrower(std::string nodeName, LenderAssignment& lenderAssignment, CreditTiming timing)
    : m_nodeName(std::move(nodeName))
    , m_lenderAssignment(&lenderAssignment)
    , m_timing(timing)
{
}

std::uint32_t CreditBorrower::preferredPart(const std::string& name, const Group& group) const
{
    return static_cast<std::uint32_t>(hash64(m_nodeName, hash64(name)) % group.partCount);
}

double CreditBorrower::currentCallsPerSecond(const Group& group, Instant now)
{
    return group.callsPerSecond
        * std::exp(-toSeconds(now - group.demandUpdatedAt) / demandTimeConstantSeconds);
}

void CreditBorrower::recordCall(Group& group, Instant now)
{
    group.callsPerSecond = currentCallsPerSecond(group, now) + 1 / demandTimeConstantSeconds;
    group.demandUpdatedAt = now;
    group.lastCallAt = now;
}

void CreditBorrower::resetAccount(Account& account, const std::string& lender)
{
    account = {};
    account.lender = lender;
    account.generation = ++m_lastGeneration;
}

void CreditBorrower::resetStaleAccounts(const std::string& name, Group& group, Instant now)
{
    for (std::uint32_t part = 0; part < group.partCount; ++part) {
        auto& account = group.accounts[part];
        const auto& lender = m_lenderAssignment->lenderOf(name, part);
        const bool hasExpired = !account.isSettled() && now - account.confirmedAt >= m_timing.creditLifetime;
        if (!account.generation || account.lender != lender || hasExpired)
            resetAccount(account, lender);
    }
}

bool CreditBorrower::isSilent(const Account& account, Duration timeout, Instant now)
{
    return account.unansweredSince && now - *account.unansweredSince >= timeout;
}

bool CreditBorrower::mayLendSoon(const Account& account, Instant now) const
{
    if (account.lender.empty() || now < account.shortageUntil)
        return false;
    // Beyond lenderTimeout others are asked as well, but the answer may still be on its way.
    return !isSilent(account, m_timing.requestRetryInterval, now);
}

CreditBorrower::Decision CreditBorrower::tryAcquire(const std::string& name, Group& group, Instant now)
{
    resetStaleAccounts(name, group, now);
    const auto preferred = preferredPart(name, group);
    Decision out;
    bool maySomeLend = false;
    auto nextAttemptAt = now + m_timing.requestRetryInterval;
    for (std::uint32_t i = 0; i < group.partCount; ++i) {
        const auto part = (preferred + i) % group.partCount;
        auto& account = group.accounts[part];
        if (account.availableCredits() > 0) {
            const auto number = ++m_lastCreditNumber;
            account.unsettledCredits.emplace_back(number, now);
            return { Verdict::Allowed, { part, account.generation, number } };
        }
        maySomeLend = maySomeLend || mayLendSoon(account, now);
        if (account.shortageUntil > now) {
            ++out.shortLenders;
            nextAttemptAt = std::min(nextAttemptAt, account.shortageUntil);
        } else if (!mayLendSoon(account, now)) {
            ++out.silentLenders;
        }
    }
    out.verdict = maySomeLend ? Verdict::Wait : Verdict::Refused;
    out.retryAfter = nextAttemptAt - now;
    return out;
}

CreditBorrower::Decision CreditBorrower::acquire(
    const std::string& group, std::uint32_t partCount, Instant now)
{
    auto& entry = m_groups[group];
    entry.partCount = partCount;
    recordCall(entry, now);
    return retryAcquire(group, now);
}

CreditBorrower::Decision CreditBorrower::retryAcquire(const std::string& group, Instant now)
{
    auto& entry = m_groups[group];
    auto out = tryAcquire(group, entry, now);
    if (out.verdict == Verdict::Wait)
        ++entry.waitingCalls;
    return out;
}

void CreditBorrower::onCallRan(const std::string& group, const Credit& credit)
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end())
        return;
    auto& account = it->second.accounts[credit.part];
    const auto hasSameNumber = [&](const auto& entry) { return entry.first == credit.number; };
    if (isCurrent(account, credit) && std::erase_if(account.unsettledCredits, hasSameNumber))
        ++account.usedCredits;
}

void CreditBorrower::returnCredit(const std::string& group, const Credit& credit, Instant now)
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end())
        return;
    auto& account = it->second.accounts[credit.part];
    if (!isCurrent(account, credit) || now - account.confirmedAt >= m_timing.creditLifetime)
        return;
    std::erase_if(account.unsettledCredits, [&](const auto& entry) { return entry.first == credit.number; });
}

void CreditBorrower::settleOldCredits(Account& account, Instant now) const
{
    while (!account.unsettledCredits.empty()
        && now - account.unsettledCredits.front().second >= m_timing.settleTimeout) {
        account.unsettledCredits.pop_front();
        ++account.usedCredits;
    }
}

std::uint32_t CreditBorrower::targetCredits(const Group& group, Instant now) const
{
    if (now - group.lastCallAt >= m_timing.idleTimeout)
        return 0;
    const double expectedCalls = currentCallsPerSecond(group, now) * toSeconds(m_timing.prefetchHorizon);
    return minHeldCredits + group.waitingCalls + static_cast<std::uint32_t>(expectedCalls);
}

bool CreditBorrower::isRequestDue(
    const Account& account, std::uint32_t wantedCredits, std::uint32_t waitingCalls, Instant now) const
{
    if (account.lender.empty())
        return false;
    if (account.pendingRequest && now - account.requestedAt < m_timing.requestRetryInterval)
        return false;
    if (!account.isSettled() && now - account.confirmedAt >= m_timing.renewInterval)
        return true;
    if (!wantedCredits)
        return account.availableCredits() > 0;
    const bool isLow = static_cast<double>(account.availableCredits()) < lowWaterFraction * wantedCredits;
    return (waitingCalls || isLow) && now >= account.shortageUntil;
}

void CreditBorrower::addAccountRequest(
    std::map<std::string, LenderRequest>& out, const AccountRequest& accountRequest, Instant now)
{
    auto& account = *accountRequest.account;
    settleOldCredits(account, now);
    if (!accountRequest.wantedCredits)
        account.returnedCredits += account.availableCredits();
    auto& request = out[account.lender];
    if (request.lender.empty()) {
        request.lender = account.lender;
        request.message.set_number(++m_lastRequestNumber);
    }
    account.pendingRequest = request.message.number();
    account.requestedAt = now;
    // An answer to an older request would confirm credits that have expired.
    std::erase_if(account.sentRequests,
        [&](const auto& entry) { return now - entry.second >= m_timing.creditLifetime; });
    account.sentRequests.emplace_back(account.pendingRequest, now);
    // Also set if the request can't be sent: a link that is being opened may never stand.
    if (!account.unansweredSince)
        account.unansweredSince = now;
    auto& report = *request.message.add_accounts();
    report.set_group(*accountRequest.group);
    report.set_part(accountRequest.part);
    report.set_opened(account.generation);
    report.set_used(account.usedCredits);
    report.set_returned(account.returnedCredits);
    report.set_wanted(accountRequest.wantedCredits
            ? accountRequest.wantedCredits + static_cast<std::uint32_t>(account.unsettledCredits.size())
            : 0);
    report.set_waiting(accountRequest.waitingCalls);
}

std::vector<CreditBorrower::AccountRequest> CreditBorrower::collectAccountRequests(Instant now)
{
    std::vector<AccountRequest> out;
    for (auto& [name, group] : m_groups) {
        resetStaleAccounts(name, group, now);
        const auto target = targetCredits(group, now);
        const auto preferred = preferredPart(name, group);
        bool isCovered = false;
        for (std::uint32_t i = 0; i < group.partCount; ++i) {
            const auto part = (preferred + i) % group.partCount;
            auto& account = group.accounts[part];
            const auto wantedCredits = isCovered ? 0 : target;
            const auto waitingCalls = isCovered ? 0 : group.waitingCalls;
            const bool needsFallback
                = now < account.fallbackUntil || isSilent(account, m_timing.lenderTimeout, now);
            if (isRequestDue(account, wantedCredits, waitingCalls, now))
                out.push_back({ &name, part, &account, wantedCredits, waitingCalls });
            isCovered = isCovered || !needsFallback;
        }
    }
    return out;
}

std::vector<CreditBorrower::LenderRequest> CreditBorrower::collectDueRequests(Instant now)
{
    // One message to a lender covers all groups. It is sent when requestInterval has passed since the last
    // one, or at once if a call waits.
    const auto accountRequests = collectAccountRequests(now);
    std::set<std::string> lenders;
    for (const auto& it : accountRequests) {
        if (it.waitingCalls || now - m_lenders[it.account->lender].lastRequestAt >= m_timing.requestInterval)
            lenders.insert(it.account->lender);
    }
    std::map<std::string, LenderRequest> out;
    for (const auto& it : accountRequests) {
        if (lenders.contains(it.account->lender))
            addAccountRequest(out, it, now);
    }
    std::erase_if(m_groups, [&](const auto& it) { return isUnused(it.second, now); });
    std::vector<LenderRequest> requests;
    requests.reserve(out.size());
    for (auto& [lender, request] : out) {
        auto& state = m_lenders[lender];
        state.lastRequestAt = now;
        state.unansweredSince = state.unansweredSince.value_or(now);
        ++state.unansweredRequests;
        requests.push_back(std::move(request));
    }
    return requests;
}

std::vector<std::string> CreditBorrower::silentLenders(Duration timeout, Instant now) const
{
    std::vector<std::string> out;
    for (const auto& [name, state] : m_lenders) {
        const bool isAsked = now - state.lastRequestAt < m_timing.maxShortageDelay;
        const bool isSilent
            = state.unansweredSince && state.lastRequestAt - *state.unansweredSince >= timeout;
        if (isAsked && isSilent && state.unansweredRequests >= minUnansweredRequests)
            out.push_back(name);
    }
    return out;
}

bool CreditBorrower::isUnused(const Group& group, Instant now) const
{
    const auto isSettled = [](const Account& account) { return account.isSettled(); };
    const auto end = group.accounts.begin() + group.partCount;
    return !targetCredits(group, now) && std::all_of(group.accounts.begin(), end, isSettled);
}

void CreditBorrower::onRequestNotSent(const LenderRequest& request)
{
    for (const auto& report : request.message.accounts()) {
        const auto it = m_groups.find(report.group());
        if (it == m_groups.end())
            continue;
        auto& account = it->second.accounts[report.part()];
        if (account.pendingRequest != request.message.number())
            continue;
        account.pendingRequest = 0;
        account.sentRequests.pop_back();
    }
}

void CreditBorrower::confirm(Account& account, std::uint64_t number)
{
    auto& sent = account.sentRequests;
    while (!sent.empty() && sent.front().first <= number) {
        if (sent.front().first == number)
            account.confirmedAt = sent.front().second;
        sent.pop_front();
    }
}

std::vector<std::string> CreditBorrower::addGrants(
    const std::string& lender, const proto::CreditGrants& grants, Instant now)
{
    auto& state = m_lenders[lender];
    state.unansweredSince.reset();
    state.unansweredRequests = 0;
    std::vector<std::string> out;
    for (const auto& grant : grants.grants()) {
        const auto it = m_groups.find(grant.group());
        if (it == m_groups.end() || grant.part() >= maxRateParts)
            continue;
        auto& account = it->second.accounts[grant.part()];
        if (account.lender != lender || account.generation != grant.opened())
            continue;
        account.unansweredSince.reset();
        confirm(account, grants.number());
        if (grants.number() == account.pendingRequest) {
            account.pendingRequest = 0;
            const auto delay = std::chrono::milliseconds(grant.next_ms());
            account.shortageUntil = grant.next_ms() ? now + delay : Instant {};
            if (grant.next_ms())
                account.fallbackUntil = now + m_timing.maxShortageDelay;
        }
        account.lentCredits = std::max(account.lentCredits, grant.lent());
        it->second.waitingCalls = 0;
        out.push_back(grant.group());
    }
    return out;
}

} // namespace robinrun
