#include "Rates/CreditLender.h"

#include <algorithm>
#include <cmath>

namespace robinrun {
namespace {

    /// On the small side of a cut, a lender hears less than this part of the nodes.
    constexpr double smallSide = 0.5;
    /// Credits in a part when its lender starts: few enough that all may start a few times in a window.
    constexpr double firstCredits = 1;
    /// Of what a part can save up, kept for calls that wait.
    constexpr double reservedPart = 0.3;
    constexpr double leastRate = 1e-3; // calls a second, to divide by

} // namespace

CreditLender::CreditLender(RateTerms terms, CreditTiming timing)
    : m_terms(terms)
    , m_timing(timing)
{
}

CreditLender::Bucket& CreditLender::bucketOf(const PartKey& key, const RatePart& part, Instant now)
{
    const auto [it, isNew] = m_buckets.try_emplace(key);
    auto& bucket = it->second;
    if (isNew) {
        bucket.level = std::min(firstCredits, part.most);
        bucket.filled = now;
    }
    const double reach = m_reach < smallSide ? m_reach : 1;
    const double gained = reach * part.perSecond * toSeconds(now - bucket.filled);
    const double room = std::max(part.most - bucket.lent, 0.0);
    bucket.level = std::min(bucket.level + gained, room);
    bucket.filled = now;
    return bucket;
}

CreditLender::Account& CreditLender::accountOf(
    const AccountKey& key, const proto::CreditAccount& told, Bucket& bucket)
{
    auto [it, isNew] = m_accounts.try_emplace(key);
    auto& account = it->second;
    if (!isNew && account.opened >= told.opened())
        return account;
    if (isNew)
        ++bucket.accounts;
    // What the former account still held is lost: its ingress has thrown it away.
    bucket.lent -= static_cast<double>(account.out());
    account = { told.opened(), told.used() + told.returned(), told.used(), told.returned(), {} };
    return account;
}

void CreditLender::settle(Account& account, const proto::CreditAccount& told, Bucket& bucket)
{
    const auto used = std::max(told.used(), account.used);
    const auto returned = std::max(told.returned(), account.returned);
    if (used + returned > account.lent)
        return; // nobody was lent so many
    bucket.lent -= static_cast<double>(used - account.used + returned - account.returned);
    bucket.level += static_cast<double>(returned - account.returned);
    account.used = used;
    account.returned = returned;
}

std::uint32_t CreditLender::nextIn(const RatePart& part, const Bucket& bucket) const
{
    // All that ask have a turn before this one asks again.
    const auto turn = fromSeconds(bucket.accounts / std::max(part.perSecond, leastRate));
    const auto wait = std::clamp(turn, m_timing.leastShort, m_timing.mostShort);
    return static_cast<std::uint32_t>(toMilliseconds(wait));
}

proto::CreditGrant CreditLender::take(
    std::uint64_t life, const proto::CreditAccount& told, const GroupRate& rate, Instant now)
{
    const PartKey key { told.group(), told.part() };
    const auto part = RatePart::of(rate, m_terms);
    auto& bucket = bucketOf(key, part, now);
    auto& account = accountOf({ key, life }, told, bucket);
    proto::CreditGrant out;
    out.set_group(told.group());
    out.set_part(told.part());
    out.set_opened(account.opened);
    if (told.opened() == account.opened) {
        account.heard = now;
        settle(account, told, bucket);
        const double wanted = std::max(double(told.wanted()) - double(account.out()), 0.0);
        const double waiting = std::min(wanted, double(told.waiting()));
        // What calls wait for comes before what ingresses hold for calls to come.
        const double ahead = std::floor(bucket.level - reservedPart * part.most);
        const double lends = std::clamp(ahead, std::min(waiting, std::floor(bucket.level)), wanted);
        bucket.level -= lends;
        bucket.lent += lends;
        account.lent += static_cast<std::uint64_t>(lends);
        if (lends < waiting || (lends < wanted && bucket.level < 1))
            out.set_next_ms(nextIn(part, bucket));
    }
    out.set_lent(account.lent);
    return out;
}

void CreditLender::tick(Instant now)
{
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        if (now - it->second.heard <= m_timing.term) {
            ++it;
            continue;
        }
        auto& bucket = m_buckets.at(it->first.first);
        bucket.lent -= static_cast<double>(it->second.out());
        --bucket.accounts;
        it = m_accounts.erase(it);
    }
}

double CreditLender::lent() const
{
    double out = 0;
    for (const auto& [key, bucket] : m_buckets)
        out += bucket.lent;
    return out;
}

} // namespace robinrun
