#pragma once

#include "Core/Time.h"
#include "Rates/CreditTiming.h"
#include "Rates/LenderAssignment.h"
#include "Rates/RateTolerance.h"
#include "peer.pb.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace robinrun {

/// \brief The credits that an ingress holds, by group, and from whom it asks for more.
///
/// It asks one lender for each group, another for each ingress, and the others only while that one lends too
/// little or is silent. It asks ahead, so that a call finds a credit; only the first call of a group for a
/// while waits for one. No I/O. Cost: O(parts) a call.
class CreditBorrower {
public:
    /// \brief A credit that a call was let through for.
    struct Credit {
        std::uint32_t part = 0;
        std::uint64_t accountGeneration = 0; ///< account that it is from
        std::uint64_t number = 0;
    };
    enum class Verdict {
        Allowed,
        Wait, ///< a lender has been asked, or can be
        Refused, ///< all lend too little, or none answers
    };
    struct Decision {
        Verdict verdict = Verdict::Refused;
        Credit credit;
        Duration retryAfter {}; ///< until more may be lent
    };
    /// \brief What to tell the lender called \a lender.
    struct LenderRequest {
        std::string lender;
        proto::CreditAsk message;
    };

    /// \param nodeName name of this node, which spreads ingresses over lenders.
    CreditBorrower(std::string nodeName, LenderAssignment& lenderAssignment, CreditTiming timing = {});

    /// \brief Lets a call of \a group through if there is a credit for it. \param partCount of the group's
    /// rate.
    Decision acquire(const std::string& group, std::uint32_t partCount, Instant now);

    /// \brief As spend(), for a call that has been told to wait, and has waited until a lender answered.
    Decision retryAcquire(const std::string& group, Instant now);
    /// \brief As retry(), just after lenders have been asked for the call.
    Decision retryAfterRequest(const std::string& group, Instant now)
    {
        return tryAcquire(group, m_groups[group], now);
    }

    /// \brief The call has run.
    void onCallRan(const std::string& group, const Credit& credit);

    /// \brief The call was refused and has not run: its credit serves another one, if it still counts.
    void returnCredit(const std::string& group, const Credit& credit, Instant now);

    /// \returns what to ask now, one message for each lender. What could not be sent is told to unsent().
    std::vector<LenderRequest> collectDueRequests(Instant now);
    void onRequestNotSent(const LenderRequest& request);

    /// \brief A lender has answered. \returns the groups that may have more than before.
    std::vector<std::string> addGrants(
        const std::string& lender, const proto::CreditGrants& grants, Instant now);

    std::size_t groupCount() const { return m_groups.size(); }

private:
    struct Account {
        std::string lender;
        std::uint64_t generation = 0;
        std::uint64_t lentCredits = 0;
        std::uint64_t usedCredits = 0;
        std::uint64_t returnedCredits = 0;
        std::deque<std::pair<std::uint64_t, Instant>>
            unsettledCredits; ///< credits of calls that may still be refused
        std::uint64_t pendingRequest = 0; ///< number of the one that is out; 0: none
        Instant requestedAt {};
        Instant confirmedAt {}; ///< when the last one that was answered was sent
        Instant shortageUntil {}; ///< it lent too little and is not asked before
        Instant fallbackUntil {}; ///< the others are asked too
        bool isUnresponsive = false;

        std::uint64_t availableCredits() const
        {
            return lentCredits - usedCredits - returnedCredits - unsettledCredits.size();
        }
        bool isSettled() const { return lentCredits == usedCredits + returnedCredits; }
    };
    struct Group {
        std::uint32_t partCount = 1;
        std::array<Account, maxRateParts> accounts; ///< `parts` of them are used
        double callsPerSecond = 0; ///< calls a second, as of `counted`
        Instant demandUpdatedAt {};
        Instant lastCallAt {};
        std::uint32_t waitingCalls = 0; ///< calls that came and found no credit, since the last grant
    };

    std::uint32_t preferredPart(const std::string& name, const Group& group) const;
    /// \returns whether \a credit is of an account that still stands.
    static bool isCurrent(const Account& account, const Credit& credit)
    {
        return account.generation == credit.accountGeneration;
    }
    /// \returns the calls a second that came lately.
    static double currentCallsPerSecond(const Group& group, Instant now);
    static void recordCall(Group& group, Instant now);
    /// \brief Throws away what the account can no longer rely on.
    void resetStaleAccounts(const std::string& name, Group& group, Instant now);
    void resetAccount(Account& account, const std::string& lender);
    Decision tryAcquire(const std::string& name, Group& group, Instant now);
    bool mayLendSoon(const Account& account, Instant now) const;
    /// \returns the credits that the group should hold here.
    std::uint32_t targetCredits(const Group& group, Instant now) const;
    bool isRequestDue(
        const Account& account, std::uint32_t wantedCredits, std::uint32_t waitingCalls, Instant now) const;
    void settleOldCredits(Account& account, Instant now) const;
    /// What the lender of one account is to be told.
    struct AccountRequest {
        const std::string* group;
        std::uint32_t part;
        Account* account;
        std::uint32_t wantedCredits;
        std::uint32_t waitingCalls;
    };
    std::vector<AccountRequest> collectAccountRequests(Instant now);
    void addAccountRequest(
        std::map<std::string, LenderRequest>& out, const AccountRequest& accountRequest, Instant now);
    /// \returns whether nothing is left to be kept of the group.
    bool isUnused(const Group& group, Instant now) const;

    std::string m_nodeName;
    LenderAssignment* m_lenderAssignment;
    CreditTiming m_timing;
    std::map<std::string, Group> m_groups;
    std::map<std::string, Instant> m_lastRequestAt; ///< by lender
    std::uint64_t m_lastGeneration = 0;
    std::uint64_t m_lastCreditNumber = 0;
    std::uint64_t m_lastRequestNumber = 0;
};

} // namespace robinrun
