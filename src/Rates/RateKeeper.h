#pragma once

#include "Core/Time.h"
#include "Rates/CreditHomes.h"
#include "Rates/CreditLender.h"
#include "Rates/CreditPurse.h"
#include "Rates/RateTerms.h"
#include "peer.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace robinrun {

/// \brief A node's part in keeping the rates of groups over all nodes: it holds credits for its callers, and
/// lends those that it is the home of. Messages go out through a function. \sa docs/design/rates.md
class RateKeeper {
public:
    /// \returns whether \a message went out to the node called \a node.
    using Send = std::function<bool(const std::string& node, proto::PeerMessage& message, Instant now)>;
    /// \brief The groups may have credits that they had not before.
    using Changed = std::function<void(const std::vector<std::string>& groups, Instant now)>;

    struct Options {
        std::string node; ///< name of this one
        std::uint64_t life = 0; ///< of this one; others' lives are told by their links
        RateTerms terms;
        CreditTiming timing {};
    };

    RateKeeper(Options options, Send send);

    void onChanged(Changed changed) { m_changed = std::move(changed); }
    void setTerms(RateTerms terms) { m_lender.setTerms(terms); }
    /// \brief The rates of the configuration in force, by group; others are not bounded.
    void setRates(std::map<std::string, GroupRate> rates) { m_rates = std::move(rates); }
    void setNodes(std::vector<CreditHomes::Node> nodes) { m_homes.setNodes(std::move(nodes)); }
    void setReach(double share) { m_lender.setReach(share); }

    /// \brief Lets a call of \a group through if there is a credit; else a lender is asked.
    CreditPurse::Decision spend(const std::string& group, Instant now);
    /// \brief The call has run.
    void ran(const std::string& group, const CreditPurse::Credit& credit) { m_purse.ran(group, credit); }
    CreditPurse::Decision retry(const std::string& group, Instant now) { return m_purse.retry(group, now); }
    /// \brief The call was refused and has not run.
    void giveBack(const std::string& group, const CreditPurse::Credit& credit, Instant now)
    {
        m_purse.giveBack(group, credit, now);
    }

    /// \brief An ingress asks. \returns what it is lent.
    proto::CreditGrants takeAsk(std::uint64_t life, const proto::CreditAsk& ask, Instant now);
    void takeGrants(const std::string& node, const proto::CreditGrants& grants, Instant now);
    /// \brief Asks ahead and tells lenders what was used.
    void tick(Instant now);

    std::size_t groups() const { return m_purse.groups(); }
    std::size_t accounts() const { return m_lender.accounts(); }
    double lent() const { return m_lender.lent(); }
    std::uint64_t asks() const { return m_asks; }

private:
    void ask(Instant now);

    Options m_options;
    Send m_send;
    Changed m_changed;
    std::map<std::string, GroupRate> m_rates;
    CreditHomes m_homes;
    CreditLender m_lender;
    CreditPurse m_purse;
    std::uint64_t m_asks = 0;
};

} // namespace robinrun
