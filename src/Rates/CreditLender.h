#pragma once

#include "Core/Time.h"
#include "Rates/CreditTiming.h"
#include "Rates/RateTerms.h"
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
    explicit CreditLender(RateTerms terms, CreditTiming timing = {});

    void setTerms(RateTerms terms) { m_terms = terms; }

    /// \brief An ingress tells how its account stands, and is lent what there is.
    /// \param life of the ingress; each has accounts of its own. \param rate of the group, as this node knows
    /// it.
    proto::CreditGrant take(
        std::uint64_t life, const proto::CreditAccount& account, const GroupRate& rate, Instant now);

    /// \brief Part of the nodes that this one hears. Below a half it is on the small side of a cut, where
    /// another lender may take its place: it then lends that part of its rate.
    void setReach(double share) { m_reach = share; }

    /// \brief Closes accounts that have been silent for the term; what they held is lost.
    void tick(Instant now);

    std::size_t accounts() const { return m_accounts.size(); }
    /// \returns the credits that are out.
    double lent() const;

private:
    using PartKey = std::pair<std::string, std::uint32_t>; ///< group, part
    using AccountKey = std::pair<PartKey, std::uint64_t>; ///< and the ingress's life
    struct Bucket {
        double level = 0; ///< credits saved up
        double lent = 0; ///< and not settled
        Instant filled {};
        std::uint32_t accounts = 0;
    };
    struct Account {
        std::uint64_t opened = 0;
        std::uint64_t lent = 0;
        std::uint64_t used = 0;
        std::uint64_t returned = 0;
        Instant heard {};

        std::uint64_t out() const { return lent - used - returned; }
    };

    Bucket& bucketOf(const PartKey& key, const RatePart& part, Instant now);
    Account& accountOf(const AccountKey& key, const proto::CreditAccount& told, Bucket& bucket);
    static void settle(Account& account, const proto::CreditAccount& told, Bucket& bucket);
    std::uint32_t nextIn(const RatePart& part, const Bucket& bucket) const;

    RateTerms m_terms;
    CreditTiming m_timing;
    double m_reach = 1;
    std::map<PartKey, Bucket> m_buckets;
    std::map<AccountKey, Account> m_accounts;
};

} // namespace robinrun
