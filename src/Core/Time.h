#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace robinrun {

/// \brief Lengths of time throughout the project: whole microseconds.
using Duration = std::chrono::microseconds;

/// \brief Marks the time points that decisions are given as an argument.
///
/// It has no `now()`: code that decides can't read a clock. The event loop reads
/// the monotonic clock once a turn; tests and benches pass virtual time.
struct DecisionClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<DecisionClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std::chrono asks for it
};

/// \brief A moment on the monotonic clock (or in virtual time), in microseconds.
using Instant = DecisionClock::time_point;

using std::chrono_literals::operator""us;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

/// \returns \a d in seconds.
constexpr double toSeconds(Duration d)
{
    return static_cast<double>(d.count()) / 1e6;
}

/// \returns \a d in milliseconds.
constexpr double toMilliseconds(Duration d)
{
    return static_cast<double>(d.count()) / 1e3;
}

/// \returns the length of \a seconds, rounded towards zero.
constexpr Duration fromSeconds(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

namespace internal {

    /// \returns the present on one of the system's clocks.
    inline Instant read(clockid_t clock)
    {
        timespec out {};
        clock_gettime(clock, &out);
        return Instant(std::chrono::seconds(out.tv_sec)
            + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(out.tv_nsec)));
    }

} // namespace internal

/// \returns the present on the monotonic clock that also counts while the host is suspended: deadlines,
/// leases and the age of what is known go on then. Only loops and programs call it.
inline Instant monotonicNow()
{
    return internal::read(CLOCK_BOOTTIME);
}

/// \returns the present on the clock of the loop's timers, which stands still while the host is suspended.
/// \sa SuspensionWatch
inline Instant timersNow()
{
    return internal::read(CLOCK_MONOTONIC);
}

/// \returns the wall clock as milliseconds since 1970. Only loops and programs call it.
inline std::int64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace robinrun
