#include "Rates/CreditLender.h"

#include <algorithm>
#include <cmath>

namespace robinrun {
namespace {

    /// A lender that reaches a smaller fraction of the nodes is on the minority side of a network partition.
    constexpr double majorityFraction = 0.5;
    /// Credits of a part when its lender starts; few enough that all lenders may restart several times in a
    /// window without exceeding the tolerance.
    constexpr double initialCredits = 1;
    /// Fraction of a part's maximum credits that is reserved for calls that wait.
    constexpr double reservedFraction = 0.3;
    constexpr double minRatePerSecond = 1e-3; ///< Avoids a division by zero.

} // namespace

CreditLender::CreditLender(RateTolerance tolerance, CreditTiming timing)
    : m_tolerance(tolerance)
    , m_timing(timing)
{
}

CreditLender::Bucket& CreditLender::refillBucket(const PartKey& key, const RatePart& part, Instant now)
{
    const auto [it, isNew] = m_buckets.try_emplace(key);
    auto& bucket = it->second;
    if (isNew) {
        bucket.availableCredits = std::min(initialCredits, part.maxCredits);
        bucket.refilledAt = now;
    }
    const double refillFraction = m_reachableFraction < majorityFraction ? m_reachableFraction : 1;
    double creditsPerSecond = refillFraction * part.creditsPerSecond;
    if (m_mayBeSucceeded)
        creditsPerSecond = std::min(creditsPerSecond, part.spareCreditsPerSecond);
    const double gainedCredits = creditsPerSecond * toSeconds(now - bucket.refilledAt);
    const double freeCapacity = std::max(part.maxCredits - bucket.outstandingCredits, 0.0);
    bucket.availableCredits = std::min(bucket.availableCredits + gainedCredits, freeCapacity);
    bucket.refilledAt = now;
    return bucket;
}

CreditLender::Account& CreditLender::findOrOpenAccount(
    const AccountKey& key, const proto::CreditAccount& reported, Bucket& bucket)
{
    auto [it, isNew] = m_accounts.try_emplace(key);
    auto& account = it->second;
    if (!isNew && account.generation >= reported.opened())
        return account;
    if (isNew)
        ++bucket.accountCount;
    // The ingress discarded the credits of the previous generation when it reset the account.
    bucket.outstandingCredits -= static_cast<double>(account.outstandingCredits());
    account = { reported.opened(), reported.used() + reported.returned(), reported.used(),
        reported.returned(), {} };
    return account;
}

void CreditLender::settleAccount(Account& account, const proto::CreditAccount& reported, Bucket& bucket)
{
    const auto used = std::max(reported.used(), account.usedCredits);
    const auto returned = std::max(reported.returned(), account.returnedCredits);
    if (used + returned > account.lentCredits)
        return; // The report is invalid: it names more credits than were lent.
    bucket.outstandingCredits
        -= static_cast<double>(used - account.usedCredits + returned - account.returnedCredits);
    bucket.availableCredits += static_cast<double>(returned - account.returnedCredits);
    account.usedCredits = used;
    account.returnedCredits = returned;
}

std::uint32_t CreditLender::nextCreditDelayMs(const RatePart& part, const Bucket& bucket) const
{
    // Every account gets one credit before this one asks again.
    const auto roundTime
        = fromSeconds(bucket.accountCount / std::max(part.creditsPerSecond, minRatePerSecond));
    const auto delay = std::clamp(roundTime, m_timing.minShortageDelay, m_timing.maxShortageDelay);
    return static_cast<std::uint32_t>(toMilliseconds(delay));
}

proto::CreditGrant CreditLender::lendCredits(
    std::uint64_t incarnation, const proto::CreditAccount& reported, const GroupRate& rate, Instant now)
{
    const PartKey key { reported.group(), reported.part() };
    const auto part = RatePart::of(rate, m_tolerance);
    auto& bucket = refillBucket(key, part, now);
    auto& account = findOrOpenAccount({ key, incarnation }, reported, bucket);
    proto::CreditGrant out;
    out.set_group(reported.group());
    out.set_part(reported.part());
    out.set_opened(account.generation);
    if (reported.opened() == account.generation) {
        account.lastReportAt = now;
        settleAccount(account, reported, bucket);
        const double missingCredits
            = std::max(double(reported.wanted()) - double(account.outstandingCredits()), 0.0);
        const double urgentCredits = std::min(missingCredits, double(reported.waiting()));
        // Credits for waiting calls may use the reserve; credits in advance for later calls may not.
        const double unreservedCredits
            = std::floor(bucket.availableCredits - reservedFraction * part.maxCredits);
        const double newlyLent = std::clamp(
            unreservedCredits, std::min(urgentCredits, std::floor(bucket.availableCredits)), missingCredits);
        bucket.availableCredits -= newlyLent;
        bucket.outstandingCredits += newlyLent;
        account.lentCredits += static_cast<std::uint64_t>(newlyLent);
        if (newlyLent < urgentCredits || (newlyLent < missingCredits && bucket.availableCredits < 1))
            out.set_next_ms(nextCreditDelayMs(part, bucket));
    }
    out.set_lent(account.lentCredits);
    return out;
}

void CreditLender::closeSilentAccounts(Instant now)
{
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        if (now - it->second.lastReportAt <= m_timing.creditLifetime) {
            ++it;
            continue;
        }
        auto& bucket = m_buckets.at(it->first.first);
        bucket.outstandingCredits -= static_cast<double>(it->second.outstandingCredits());
        --bucket.accountCount;
        it = m_accounts.erase(it);
    }
}

double CreditLender::outstandingCredits() const
{
    double out = 0;
    for (const auto& [key, bucket] : m_buckets)
        out += bucket.outstandingCredits;
    return out;
}

} // namespace robinrun
