#pragma once

#include "Core/Time.h"

namespace robinrun {

/// \brief The times by which lenders and ingresses keep accounts of credits.
struct CreditTiming {
    Duration creditLifetime
        = 4s; ///< credits are good for, after the last ask that was answered; then they are lost
    Duration renewInterval = 1800ms; ///< an account that is in use is told on, in time for one lost message
    Duration prefetchHorizon = 300ms; ///< of the calls to come, credits are held for
    Duration idleTimeout = 3s; ///< without a call of the group, its credits are given back
    Duration lenderTimeout = 30ms; ///< a lender that has not answered for so long counts as silent
    Duration requestRetryInterval = 300ms; ///< a silent lender is asked again
    Duration settleTimeout = 1s; ///< a call that is still under way counts as run
    Duration requestInterval
        = 300ms; ///< a lender is told on, for all groups in one message, while no call waits
    Duration minShortageDelay = 50ms; ///< between two asks of a lender that lends too little
    Duration maxShortageDelay = 1s;
};

} // namespace robinrun
