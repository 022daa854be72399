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

/// \brief A node's part of the distributed limit on the rates of calling groups.
///
/// The node borrows credits for the calls that come in at it, and lends those that are assigned to it.
/// Messages are sent through a function given by the caller. \sa docs/design/rates.md
class GroupRateLimiter {
public:
    /// \returns whether \a message was sent to the node called \a node.
    using SendFunction
        = std::function<bool(const std::string& node, proto::PeerMessage& message, Instant now)>;
    /// \brief Called when \a groups may have received credits.
    using CreditsChangedHandler = std::function<void(const std::vector<std::string>& groups, Instant now)>;

    struct Options {
        std::string nodeName; ///< Of this node.
        std::uint64_t incarnation = 0; ///< Of this node; those of other nodes come with their messages.
        RateTolerance tolerance;
        CreditTiming timing {};
    };

    GroupRateLimiter(Options options, SendFunction send);

    void setCreditsChangedHandler(CreditsChangedHandler handler)
    {
        m_creditsChangedHandler = std::move(handler);
    }
    void setTolerance(RateTolerance tolerance) { m_lender.setTolerance(tolerance); }
    /// \brief Sets the rates by group, of the configuration in force. Groups without an entry have no limit.
    void setRates(std::map<std::string, GroupRate> rates) { m_rates = std::move(rates); }
    void setNodes(std::vector<LenderAssignment::Node> nodes);
    /// \copydoc CreditLender::setReachableFraction
    void setReachableFraction(double fraction) { m_lender.setReachableFraction(fraction); }
    /// \copydoc CreditLender::setMayBeSucceeded
    void setMayBeSucceeded(bool mayBeSucceeded) { m_lender.setMayBeSucceeded(mayBeSucceeded); }
    /// \brief Begins anew as a lender: other nodes may have lent the parts of this node meanwhile.
    void restartLending()
    {
        m_lender.dropPartsUnless([](const std::string&, std::uint32_t) { return false; });
    }

    /// \brief Takes a credit for a new call of \a group; if none is left, requests more from the lenders.
    CreditBorrower::Decision acquire(const std::string& group, Instant now);
    /// \copydoc CreditBorrower::onCallRan
    void onCallRan(const std::string& group, const CreditBorrower::Credit& credit)
    {
        m_borrower.onCallRan(group, credit);
    }
    /// \copydoc CreditBorrower::retryAcquire
    CreditBorrower::Decision retryAcquire(const std::string& group, Instant now)
    {
        return m_borrower.retryAcquire(group, now);
    }
    /// \copydoc CreditBorrower::returnCredit
    void returnCredit(const std::string& group, const CreditBorrower::Credit& credit, Instant now)
    {
        m_borrower.returnCredit(group, credit, now);
    }

    /// \brief Handles the credit request of an ingress.
    /// \param incarnation of the ingress node.
    /// \returns the grants of the accounts whose part this node lends.
    proto::CreditGrants lendCredits(std::uint64_t incarnation, const proto::CreditAsk& request, Instant now);
    /// \brief Adds the credits that the node called \a lender has granted.
    void addGrants(const std::string& lender, const proto::CreditGrants& grants, Instant now);
    /// \brief Closes silent accounts and sends the requests that are due. To be called periodically.
    void tick(Instant now);

    /// \copydoc CreditBorrower::silentLenders
    std::vector<std::string> silentLenders(Duration timeout, Instant now) const
    {
        return m_borrower.silentLenders(timeout, now);
    }
    /// \copydoc CreditBorrower::onLenderHeard
    void onLenderHeard(const std::string& lender) { m_borrower.onLenderHeard(lender); }

    std::size_t groupCount() const { return m_borrower.groupCount(); }
    std::size_t accountCount() const { return m_lender.accountCount(); }
    double outstandingCredits() const { return m_lender.outstandingCredits(); }
    /// \returns the credit requests built so far, including those to this node and those not sent.
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
