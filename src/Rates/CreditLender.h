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

/// \brief Lends the credits of the parts of rates that this node is the home of.
///
/// What is saved up in a part and what is lent out of it and not yet settled together never exceed the part's
/// burst and grow by its rate alone. So what all ingresses use in any window is at most rate x window +
/// burst, in whatever order their word comes. No I/O. Cost: O(log accounts) an account that asks; about 200
/// bytes each.
class CreditLender {
public:
    explicit CreditLender(RateTolerance tolerance, CreditTiming timing = {});

    void setTolerance(RateTolerance tolerance) { m_tolerance = tolerance; }

    /// \brief An ingress tells how its account stands, and is lent what there is.
    /// \param incarnation of the ingress; each has accounts of its own. \param rate of the group, as this
    /// node knows it.
    proto::CreditGrant lendCredits(
        std::uint64_t incarnation, const proto::CreditAccount& account, const GroupRate& rate, Instant now);

    /// \brief Part of the nodes that this one hears. Below a half it is on the small side of a cut, where
    /// another lender may take its place: it then lends that part of its rate.
    void setReachableFraction(double fraction) { m_reachableFraction = fraction; }

    /// \brief Closes accounts that have been silent for the term; what they held is lost.
    void closeSilentAccounts(Instant now);

    std::size_t accountCount() const { return m_accounts.size(); }
    /// \returns the credits that are out.
    double outstandingCredits() const;

private:
    using PartKey = std::pair<std::string, std::uint32_t>; ///< group, part
    using AccountKey = std::pair<PartKey, std::uint64_t>; ///< and the ingress's life
    struct Bucket {
        double availableCredits = 0; ///< credits saved up
        double outstandingCredits = 0; ///< and not settled
        Instant refilledAt {};
        std::uint32_t accountCount = 0;
    };
    struct Account {
        std::uint64_t generation = 0;
        std::uint64_t lentCredits = 0;
        std::uint64_t usedCredits = 0;
        std::uint64_t returnedCredits = 0;
        Instant lastReportAt {};

        std::uint64_t outstandingCredits() const { return lentCredits - usedCredits - returnedCredits; }
    };

    Bucket& refillBucket(const PartKey& key, const RatePart& part, Instant now);
    Account& findOrOpenAccount(const AccountKey& key, const proto::CreditAccount& reported, Bucket& bucket);
    static void settleAccount(Account& account, const proto::CreditAccount& reported, Bucket& bucket);
    std::uint32_t nextCreditDelayMs(const RatePart& part, const Bucket& bucket) const;

    RateTolerance m_tolerance;
    CreditTiming m_timing;
    double m_reachableFraction = 1;
    std::map<PartKey, Bucket> m_buckets;
    std::map<AccountKey, Account> m_accounts;
};

} // namespace robinrun
