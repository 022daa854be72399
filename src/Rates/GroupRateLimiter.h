#pragma once

#include "Core/Time.h"
#include "Rates/CreditBorrower.h"
#include "Rates/CreditLender.h"
#include "Rates/LenderAssignment.h"
#include "Rates/RateTolerance.h"
#include "peer.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace robinrun {

/// \brief A node's part in keeping the rates of groups over all nodes: it holds credits for its callers, and
/// lends those that it is the home of. Messages go out through a function. \sa docs/design/rates.md
class GroupRateLimiter {
public:
    /// \returns whether \a message went out to the node called \a node.
    using SendFunction
        = std::function<bool(const std::string& node, proto::PeerMessage& message, Instant now)>;
    /// \brief The groups may have credits that they had not before.
    using CreditsChangedHandler = std::function<void(const std::vector<std::string>& groups, Instant now)>;

    struct Options {
        std::string nodeName; ///< name of this one
        std::uint64_t incarnation = 0; ///< of this one; others' lives are told by their links
        RateTolerance tolerance;
        CreditTiming timing {};
    };

    GroupRateLimiter(Options options, SendFunction send);

    void setCreditsChangedHandler(CreditsChangedHandler handler)
    {
        m_creditsChangedHandler = std::move(handler);
    }
    void setTolerance(RateTolerance tolerance) { m_lender.setTolerance(tolerance); }
    /// \brief The rates of the configuration in force, by group; others are not bounded.
    void setRates(std::map<std::string, GroupRate> rates) { m_rates = std::move(rates); }
    void setNodes(std::vector<LenderAssignment::Node> nodes)
    {
        m_lenderAssignment.setNodes(std::move(nodes));
    }
    void setReachableFraction(double fraction) { m_lender.setReachableFraction(fraction); }

    /// \brief Lets a call of \a group through if there is a credit; else a lender is asked.
    CreditBorrower::Decision acquire(const std::string& group, Instant now);
    /// \brief The call has run.
    void onCallRan(const std::string& group, const CreditBorrower::Credit& credit)
    {
        m_borrower.onCallRan(group, credit);
    }
    CreditBorrower::Decision retryAcquire(const std::string& group, Instant now)
    {
        return m_borrower.retryAcquire(group, now);
    }
    /// \brief The call was refused and has not run.
    void returnCredit(const std::string& group, const CreditBorrower::Credit& credit, Instant now)
    {
        m_borrower.returnCredit(group, credit, now);
    }

    /// \brief An ingress asks. \returns what it is lent.
    proto::CreditGrants lendCredits(std::uint64_t incarnation, const proto::CreditAsk& ask, Instant now);
    void addGrants(const std::string& node, const proto::CreditGrants& grants, Instant now);
    /// \brief Asks ahead and tells lenders what was used.
    void tick(Instant now);

    std::size_t groupCount() const { return m_borrower.groupCount(); }
    std::size_t accountCount() const { return m_lender.accountCount(); }
    double outstandingCredits() const { return m_lender.outstandingCredits(); }
    std::uint64_t requestCount() const { return m_requestCount; }

private:
    void sendDueRequests(Instant now);

    Options m_options;
    SendFunction m_send;
    CreditsChangedHandler m_creditsChangedHandler;
    std::map<std::string, GroupRate> m_rates;
    LenderAssignment m_lenderAssignment;
    CreditLender m_lender;
    CreditBorrower m_borrower;
    std::uint64_t m_requestCount = 0;
};

} // namespace robinrun
