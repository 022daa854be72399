#pragma once

#include "Core/Time.h"

#include <algorithm>
#include <cstdint>
#include <sys/time.h>

namespace robinrun::internal {

/// \returns \a d as libevent takes it, at least a microsecond: to libevent, zero is no timeout on a
/// bufferevent.
inline timeval toTimeval(Duration d)
{
    constexpr std::int64_t microsPerSecond = 1000000;
    const auto micros = std::max<std::int64_t>(d.count(), 1);
    return { micros / microsPerSecond, micros % microsPerSecond };
}

} // namespace robinrun::internal
