#pragma once

#include "Core/Time.h"
#include "Rates/CreditHomes.h"
#include "Rates/CreditTiming.h"
#include "Rates/RateTerms.h"
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
class CreditPurse {
public:
    /// \brief A credit that a call was let through for.
    struct Credit {
        std::uint32_t part = 0;
        std::uint64_t opened = 0; ///< account that it is from
        std::uint64_t number = 0;
    };
    enum class Verdict {
        Spent,
        Wait, ///< a lender has been asked, or can be
        Refused, ///< all lend too little, or none answers
    };
    struct Decision {
        Verdict verdict = Verdict::Refused;
        Credit credit;
        Duration comeBack {}; ///< until more may be lent
    };
    /// \brief What to tell the lender called \a home.
    struct Ask {
        std::string home;
        proto::CreditAsk message;
    };

    /// \param self name of this node, which spreads ingresses over lenders.
    CreditPurse(std::string self, CreditHomes& homes, CreditTiming timing = {});

    /// \brief Lets a call of \a group through if there is a credit for it. \param parts of the group's rate.
    Decision spend(const std::string& group, std::uint32_t parts, Instant now);

    /// \brief As spend(), for a call that has been told to wait, and has waited until a lender answered.
    Decision retry(const std::string& group, Instant now);
    /// \brief As retry(), just after lenders have been asked for the call.
    Decision again(const std::string& group, Instant now) { return decide(group, m_groups[group], now); }

    /// \brief The call has run.
    void ran(const std::string& group, const Credit& credit);

    /// \brief The call was refused and has not run: its credit serves another one, if it still counts.
    void giveBack(const std::string& group, const Credit& credit, Instant now);

    /// \returns what to ask now, one message for each lender. What could not be sent is told to unsent().
    std::vector<Ask> asks(Instant now);
    void unsent(const Ask& ask);

    /// \brief A lender has answered. \returns the groups that may have more than before.
    std::vector<std::string> take(const std::string& home, const proto::CreditGrants& grants, Instant now);

    std::size_t groups() const { return m_groups.size(); }

private:
    struct Account {
        std::string home;
        std::uint64_t opened = 0;
        std::uint64_t lent = 0;
        std::uint64_t used = 0;
        std::uint64_t returned = 0;
        std::deque<std::pair<std::uint64_t, Instant>>
            unsettled; ///< credits of calls that may still be refused
        std::uint64_t ask = 0; ///< number of the one that is out; 0: none
        Instant asked {};
        Instant proven {}; ///< when the last one that was answered was sent
        Instant shortUntil {}; ///< it lent too little and is not asked before
        Instant weakUntil {}; ///< the others are asked too
        bool isSilent = false;

        std::uint64_t held() const { return lent - used - returned - unsettled.size(); }
        bool isEmpty() const { return lent == used + returned; }
    };
    struct Group {
        std::uint32_t parts = 1;
        std::array<Account, mostRateParts> accounts; ///< `parts` of them are used
        double demand = 0; ///< calls a second, as of `counted`
        Instant counted {};
        Instant lastCall {};
        std::uint32_t waiting = 0; ///< calls that came and found no credit, since the last grant
    };

    std::uint32_t firstPart(const std::string& name, const Group& group) const;
    /// \returns whether \a credit is of an account that still stands.
    static bool isOf(const Account& account, const Credit& credit) { return account.opened == credit.opened; }
    /// \returns the calls a second that came lately.
    static double demandOf(const Group& group, Instant now);
    static void count(Group& group, Instant now);
    /// \brief Throws away what the account can no longer rely on.
    void refresh(const std::string& name, Group& group, Instant now);
    void reopen(Account& account, const std::string& home);
    Decision decide(const std::string& name, Group& group, Instant now);
    bool mayAnswer(const Account& account, Instant now) const;
    /// \returns the credits that the group should hold here.
    std::uint32_t wantedBy(const Group& group, Instant now) const;
    bool isDue(const Account& account, std::uint32_t wanted, std::uint32_t waiting, Instant now) const;
    void settle(Account& account, Instant now) const;
    /// What the lender of one account is to be told.
    struct Need {
        const std::string* group;
        std::uint32_t part;
        Account* account;
        std::uint32_t wanted;
        std::uint32_t waiting;
    };
    std::vector<Need> needs(Instant now);
    void addAsk(std::map<std::string, Ask>& out, const Need& need, Instant now);
    /// \returns whether nothing is left to be kept of the group.
    bool isOver(const Group& group, Instant now) const;

    std::string m_self;
    CreditHomes* m_homes;
    CreditTiming m_timing;
    std::map<std::string, Group> m_groups;
    std::map<std::string, Instant> m_lastAsked; ///< by lender
    std::uint64_t m_lastOpened = 0;
    std::uint64_t m_lastCredit = 0;
    std::uint64_t m_lastAsk = 0;
};

} // namespace robinrun
