#pragma once

#include "Core/Time.h"

#include <cstdint>

namespace robinrun {

/// \brief What became of a call that ran, for what is learnt from it.
enum class SampleOutcome {
    Answered,
    TimedOut, ///< no answer by its deadline: it takes longer than it ran
};

/// \brief What a call that ran tells about the number of calls that ran beside it.
struct RunSample {
    std::uint32_t callClass = 0;
    std::uint32_t concurrency = 0; ///< calls that ran when it started, with it; at least 1
    std::uint32_t limitAtStart = 0; ///< when it started
    Duration workTime {}; ///< as long as it would have taken without the slow-down that the server told
    Duration timeToSoftDeadline {}; ///< time that it had at its start to be in time; Duration::max(): any is
    SampleOutcome outcome = SampleOutcome::Answered;
};

} // namespace robinrun
