#pragma once

#include "Core/Time.h"
#include "Rates/CreditTiming.h"
#include "Rates/LenderAssignment.h"
#include "Rates/RateRefusal.h"
#include "Rates/RateTolerance.h"
#include "peer.pb.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace robinrun {

/// \brief Holds the credits of an ingress by group and decides when to request more, and from which lender.
///
/// Each group has one preferred lender at an ingress; different ingresses prefer different ones. The other
/// lenders are used only while the preferred one lends too little or does not answer. Credits are requested
/// in advance, so that a call usually finds one; only the first call of a group after an idle time waits for
/// a lender. Does no I/O. Cost: O(parts) a call.
class CreditBorrower {
public:
    /// \brief The credit that a call was let through with.
    struct Credit {
        std::uint32_t part = 0;
        std::uint64_t accountGeneration = 0; ///< Of the account that lent it.
        std::uint64_t number = 0;
    };
    enum class Verdict {
        Allowed, ///< The call has a credit.
        Wait, ///< No credit is left, but some lender may grant one soon.
        Refused, ///< Every lender lends too little or does not answer.
    };
    struct Decision {
        Verdict verdict = Verdict::Refused;
        Credit credit;
        Duration retryAfter {}; ///< Time until a lender may grant more.
        std::uint32_t shortLenders = 0; ///< Lenders that lent too little. Not set if the verdict is Allowed.
        std::uint32_t silentLenders = 0; ///< Lenders that do not answer, or are not known. Likewise.

        /// \returns why a call that is not let through is refused now.
        RateRefusal refusal() const
        {
            if (verdict == Verdict::Wait)
                return RateRefusal::Late;
            return silentLenders ? RateRefusal::Silent : RateRefusal::Short;
        }
    };
    /// \brief A credit request (CreditAsk in messages) and the name of the node that it is for.
    struct LenderRequest {
        std::string lender;
        proto::CreditAsk message;
    };

    /// \param nodeName name of this node; its hash selects the preferred lender of each group.
    CreditBorrower(std::string nodeName, LenderAssignment& lenderAssignment, CreditTiming timing = {});

    /// \brief Takes a credit for a new call of \a group.
    /// \param partCount number of parts that the group's rate is divided into.
    Decision acquire(const std::string& group, std::uint32_t partCount, Instant now);

    /// \brief Takes a credit for a call that was told to wait, after a lender has answered.
    Decision retryAcquire(const std::string& group, Instant now);
    /// \brief Takes a credit for the same call right after acquire() returned Wait and requests were sent;
    /// unlike retryAcquire(), does not count the call as waiting once more.
    Decision retryAfterRequest(const std::string& group, Instant now)
    {
        return tryAcquire(group, m_groups[group], now);
    }

    /// \brief Records that the call has run: its credit is used.
    void onCallRan(const std::string& group, const Credit& credit);

    /// \brief Returns the credit of a call that has not run, so that another call can use it. Does nothing if
    /// the credit has expired or its account was reset.
    void returnCredit(const std::string& group, const Credit& credit, Instant now);

    /// \brief Builds the requests that are due, at most one for each lender.
    ///
    /// The caller sends them, and passes each one that it could not send to onRequestNotSent().
    std::vector<LenderRequest> collectDueRequests(Instant now);
    void onRequestNotSent(const LenderRequest& request);

    /// \brief Adds the credits that \a lender has granted. \returns the groups whose waiting calls may retry.
    std::vector<std::string> addGrants(
        const std::string& lender, const proto::CreditGrants& grants, Instant now);

    /// \returns the lenders that are being asked and have left all requests of at least \a timeout without an
    /// answer.
    std::vector<std::string> silentLenders(Duration timeout, Instant now) const;
    /// \brief Forgets that the lender was silent, as it was heard in another way.
    void onLenderHeard(const std::string& lender) { m_lenders.erase(lender); }

    std::size_t groupCount() const { return m_groups.size(); }

private:
    /// \brief Credits of one part of a group's rate. The counts are totals since the account was reset.
    struct Account {
        std::string lender;
        std::uint64_t generation = 0; ///< `opened` in messages; 0 before the first use.
        std::uint64_t lentCredits = 0;
        std::uint64_t usedCredits = 0;
        std::uint64_t returnedCredits = 0;
        /// Numbers of the credits taken by calls that may still end without having run, with the time when
        /// each was taken.
        std::deque<std::pair<std::uint64_t, Instant>> unsettledCredits;
        std::uint64_t pendingRequest = 0; ///< Number of the unanswered request; 0 if there is none.
        Instant requestedAt {}; ///< When the last request was sent.
        /// Numbers and times of the requests that may still be answered, the oldest first.
        std::deque<std::pair<std::uint64_t, Instant>> sentRequests;
        Instant confirmedAt {}; ///< When the last request that the lender answered was sent.
        Instant shortageUntil {}; ///< The lender lent too little; it is not asked for more before this time.
        Instant fallbackUntil {}; ///< Until this time other lenders are asked as well.
        /// First attempt to send a request since the lender last granted; not set if none is unanswered.
        std::optional<Instant> unansweredSince;

        /// \returns the credits that new calls can take.
        std::uint64_t availableCredits() const
        {
            return lentCredits - usedCredits - returnedCredits - unsettledCredits.size();
        }
        /// \returns whether every credit that was lent has been used or returned.
        bool isSettled() const { return lentCredits == usedCredits + returnedCredits; }
    };
    struct Group {
        std::uint32_t partCount = 1;
        std::array<Account, maxRateParts> accounts; ///< Only the first `partCount` are in use.
        double callsPerSecond = 0; ///< Decaying average, as of `demandUpdatedAt`.
        Instant demandUpdatedAt {};
        Instant lastCallAt {};
        std::uint32_t waitingCalls = 0; ///< Calls that found no credit since the last grant.
    };

    /// \brief What this node knows of a lender, whatever the group.
    struct Lender {
        Instant lastRequestAt {};
        /// First request since its last answer, and the number of requests since.
        std::optional<Instant> unansweredSince;
        std::uint32_t unansweredRequests = 0;
    };

    /// \returns the part whose lender this node asks first.
    std::uint32_t preferredPart(const std::string& name, const Group& group) const;
    /// \returns whether the account has not been reset since \a credit was taken from it.
    static bool isCurrent(const Account& account, const Credit& credit)
    {
        return account.generation == credit.accountGeneration;
    }
    /// \returns the average call rate of the group, decayed to \a now.
    static double currentCallsPerSecond(const Group& group, Instant now);
    static void recordCall(Group& group, Instant now);
    /// \brief Resets each account whose lender has changed or whose credits have expired.
    void resetStaleAccounts(const std::string& name, Group& group, Instant now);
    /// \brief Discards the account's credits and begins a new generation with \a lender.
    void resetAccount(Account& account, const std::string& lender);
    /// \brief Takes a credit of any part, the preferred part first.
    Decision tryAcquire(const std::string& name, Group& group, Instant now);
    /// \brief Records that the lender has answered the request \a number, even if later ones were sent since.
    static void confirm(Account& account, std::uint64_t number);
    /// \returns whether the lender has left the account without an answer for longer than \a timeout.
    static bool isSilent(const Account& account, Duration timeout, Instant now);
    /// \returns whether the account's lender may grant a credit while a call waits.
    bool mayLendSoon(const Account& account, Instant now) const;
    /// \returns how many credits this node should hold for the group.
    std::uint32_t targetCredits(const Group& group, Instant now) const;
    bool isRequestDue(
        const Account& account, std::uint32_t wantedCredits, std::uint32_t waitingCalls, Instant now) const;
    /// \brief Counts credits as used if their calls have been under way for CreditTiming::settleTimeout.
    void settleOldCredits(Account& account, Instant now) const;
    /// \brief What a request to a lender says about one account.
    struct AccountRequest {
        const std::string* group;
        std::uint32_t part;
        Account* account;
        std::uint32_t wantedCredits;
        std::uint32_t waitingCalls;
    };
    std::vector<AccountRequest> collectAccountRequests(Instant now);
    /// \brief Adds \a accountRequest to the message for its lender.
    void addAccountRequest(
        std::map<std::string, LenderRequest>& out, const AccountRequest& accountRequest, Instant now);
    /// \returns whether the group has no recent calls and no unsettled credits, so that it can be dropped.
    bool isUnused(const Group& group, Instant now) const;

    std::string m_nodeName;
    LenderAssignment* m_lenderAssignment;
    CreditTiming m_timing;
    std::map<std::string, Group> m_groups;
    std::map<std::string, Lender> m_lenders; ///< Those that were asked, by name.
    std::uint64_t m_lastGeneration = 0;
    std::uint64_t m_lastCreditNumber = 0;
    std::uint64_t m_lastRequestNumber = 0;
};

} // namespace robinrun
