#pragma once

#include "Core/Time.h"

namespace robinrun {

/// \brief The times by which lenders and ingresses keep accounts of credits.
struct CreditTiming {
    Duration term = 4s; ///< credits are good for, after the last ask that was answered; then they are lost
    Duration renewEvery = 1800ms; ///< an account that is in use is told on, in time for one lost message
    Duration horizon = 300ms; ///< of the calls to come, credits are held for
    Duration idleAfter = 3s; ///< without a call of the group, its credits are given back
    Duration homePatience = 30ms; ///< a lender that has not answered for so long counts as silent
    Duration askAgain = 300ms; ///< a silent lender is asked again
    Duration settleAfter = 1s; ///< a call that is still under way counts as run
    Duration askEvery = 300ms; ///< a lender is told on, for all groups in one message, while no call waits
    Duration leastShort = 50ms; ///< between two asks of a lender that lends too little
    Duration mostShort = 1s;
};

} // namespace robinrun
