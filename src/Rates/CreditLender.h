#pragma once

#include "Core/Time.h"
#include "Rates/CreditTiming.h"
#include "Rates/RateTolerance.h"
#include "peer.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace robinrun {

/// \brief Lends the credits of those parts of group rates that are assigned to this node.
///
/// Each part has a token bucket. Its available credits plus its outstanding ones (lent, neither used nor
/// returned) never exceed the part's burst and grow only at the part's rate. All ingresses together
/// therefore use at most rate x window + burst credits in any window, also if reports are lost, repeated or
/// reordered. Does no I/O. Cost: O(log accounts) for each account in a request; about 200 bytes for each
/// account.
class CreditLender {
public:
    explicit CreditLender(RateTolerance tolerance, CreditTiming timing = {});

    void setTolerance(RateTolerance tolerance) { m_tolerance = tolerance; }

    /// \brief Updates the account of an ingress from its report and lends as many credits as are available.
    /// \param incarnation of the ingress node; each incarnation has accounts of its own.
    /// \param reported state of the account as the ingress sees it.
    /// \param rate of the group as configured at this node.
    proto::CreditGrant lendCredits(
        std::uint64_t incarnation, const proto::CreditAccount& reported, const GroupRate& rate, Instant now);

    /// \brief Sets the fraction of the other nodes that this node can reach.
    ///
    /// Below one half, this node is on the minority side of a network partition and the other side may have
    /// assigned its parts to another lender. It then lends only this fraction of its rate.
    void setReachableFraction(double fraction) { m_reachableFraction = fraction; }
    /// \brief Sets whether other nodes may lend the parts of this node by now. It then lends no more than the
    /// tolerance leaves.
    void setMayBeSucceeded(bool mayBeSucceeded) { m_mayBeSucceeded = mayBeSucceeded; }

    /// \brief Discards the buckets and accounts of the parts that \a isOwn does not admit. A part that comes
    /// back later begins with few credits: another node has lent it meanwhile.
    template <class Predicate> void dropPartsUnless(Predicate isOwn)
    {
        std::erase_if(
            m_accounts, [&](const auto& it) { return !isOwn(it.first.first.first, it.first.first.second); });
        std::erase_if(m_buckets, [&](const auto& it) { return !isOwn(it.first.first, it.first.second); });
    }

    /// \brief Closes the accounts without a report for CreditTiming::creditLifetime; their outstanding
    /// credits are discarded.
    void closeSilentAccounts(Instant now);

    std::size_t accountCount() const { return m_accounts.size(); }
    /// \returns the credits of all parts that are lent and neither used nor returned.
    double outstandingCredits() const;

private:
    using PartKey = std::pair<std::string, std::uint32_t>; ///< Group and index of the part.
    using AccountKey = std::pair<PartKey, std::uint64_t>; ///< Part and incarnation of the ingress.
    struct Bucket {
        double availableCredits = 0;
        double outstandingCredits = 0; ///< Lent, neither used nor returned.
        Instant refilledAt {};
        std::uint32_t accountCount = 0;
    };
    /// \brief Credits of one part at one ingress. The counts are totals since the account was opened, so a
    /// lost or repeated message does not change them.
    struct Account {
        std::uint64_t generation = 0; ///< `opened` in messages; rises when the ingress resets the account.
        std::uint64_t lentCredits = 0;
        std::uint64_t usedCredits = 0;
        std::uint64_t returnedCredits = 0;
        Instant lastReportAt {};

        std::uint64_t outstandingCredits() const { return lentCredits - usedCredits - returnedCredits; }
    };

    /// \brief Finds or creates the bucket of a part and adds the credits gained since the last refill.
    Bucket& refillBucket(const PartKey& key, const RatePart& part, Instant now);
    /// \brief Finds the account, or opens it if it is new or reported with a later generation.
    Account& findOrOpenAccount(const AccountKey& key, const proto::CreditAccount& reported, Bucket& bucket);
    /// \brief Takes over the reported counts of used and returned credits.
    static void settleAccount(Account& account, const proto::CreditAccount& reported, Bucket& bucket);
    /// \returns the delay in ms after which an ingress that was lent too little should ask again.
    std::uint32_t nextCreditDelayMs(const RatePart& part, const Bucket& bucket) const;

    RateTolerance m_tolerance;
    CreditTiming m_timing;
    double m_reachableFraction = 1;
    bool m_mayBeSucceeded = false;
    std::map<PartKey, Bucket> m_buckets;
    std::map<AccountKey, Account> m_accounts;
};

} // namespace robinrun
