#pragma once

#include "Core/Time.h"

#include <cstdint>

namespace robinrun {

/// \brief What became of a call that ran, for what is learnt from it.
enum class RunResult {
    Answered,
    OutOfTime, ///< no answer by its deadline: it takes longer than it ran
};

/// \brief What a call that ran tells about the number of calls that ran beside it.
struct RunSample {
    std::uint32_t callClass = 0;
    std::uint32_t inUse = 0; ///< calls that ran when it started, with it; at least 1
    std::uint32_t limit = 0; ///< when it started
    Duration work {}; ///< as long as it would have taken without the slow-down that the server told
    Duration timely {}; ///< time that it had at its start to be in time; Duration::max(): any is
    RunResult result = RunResult::Answered;
};

} // namespace robinrun
