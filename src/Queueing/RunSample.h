#pragma once

#include "Core/Time.h"

#include <cstdint>

namespace robinrun {

/// \brief How a run ended, for the concurrency limits that learn from it.
enum class SampleOutcome {
    Answered,
    TimedOut, ///< no answer by its deadline; its run time is a lower bound of the work time
};

/// \brief A sample of the work time of a call at a given concurrency.
struct RunSample {
    std::uint32_t callClass = 0;
    std::uint32_t concurrency = 0; ///< calls running when it started, including this one; at least 1
    std::uint32_t limitAtStart = 0; ///< concurrency limit when it started
    Duration workTime {}; ///< run time without the slowdown that the server reported
    Duration timeToSoftDeadline {}; ///< from its start to its soft deadline; Duration::max(): none
    SampleOutcome outcome = SampleOutcome::Answered;
};

} // namespace robinrun
