#pragma once

#include "Core/Time.h"

namespace robinrun {

/// \brief Intervals and timeouts of the accounts between lenders and borrowers of credits.
struct CreditTiming {
    /// Credits expire this long after the last answered request was sent.
    Duration creditLifetime = 4s;
    /// Interval of the reports that renew an account in use; within creditLifetime it leaves room for one
    /// lost message.
    Duration renewInterval = 1800ms;
    /// Credits are held for the calls expected within this time.
    Duration prefetchHorizon = 300ms;
    /// Credits of a group are returned after this time without a call of the group.
    Duration idleTimeout = 3s;
    /// A lender that has not answered a request within this time counts as unresponsive.
    Duration lenderTimeout = 30ms;
    /// An unanswered request is repeated after this time.
    Duration requestRetryInterval = 300ms;
    /// The credit of a call counts as used after this time, even if the call has not finished.
    Duration settleTimeout = 1s;
    /// Minimum interval between two messages to a lender while no call waits; a message covers all groups.
    Duration requestInterval = 300ms;
    /// Bounds of the delay before a lender that lent too little is asked again.
    Duration minShortageDelay = 50ms;
    Duration maxShortageDelay = 1s;
};

} // namespace robinrun
