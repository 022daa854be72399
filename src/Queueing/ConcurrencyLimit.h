#pragma once

#include "Core/EnumNames.h"
#include "Core/Ewma.h"
#include "Queueing/LearntLimit.h"
#include "Queueing/RunSample.h"
#include "Queueing/StepwiseLimit.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>

namespace robinrun {

/// \brief How the number of calls that run on a backend server at once is limited. Gradient and Aimd are
/// baselines for benchmarks.
enum class ConcurrencyLimitKind {
    Fixed,
    Gradient,
    Aimd,
    Learnt,
    Stepwise,
};

template <> struct EnumNames<ConcurrencyLimitKind> {
    static constexpr std::array<std::string_view, 5> names { "fixed", "gradient", "aimd", "learnt",
        "stepwise" };
};

/// \brief A constant share of the slots.
class FixedLimit {
public:
    /// \param share of \a slots to use, in (0, 1]; at least one slot is used.
    FixedLimit(std::uint32_t slots, double share);

    std::uint32_t limit() const { return m_limit; }
    void addSample(const RunSample&) { }

private:
    std::uint32_t m_limit;
};

/// \brief Follows the gradient of the work time, as TCP Vegas does: the limit shrinks by the ratio of the
/// long-term to the short-term mean work time, and grows by its own square root.
class GradientLimit {
public:
    explicit GradientLimit(std::uint32_t slots);

    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }
    void addSample(const RunSample& sample);

private:
    double m_slots;
    double m_limit;
    Ewma m_shortTermWorkSeconds;
    Ewma m_longTermWorkSeconds;
};

/// \brief Additive increase while calls that start at the limit end in time, multiplicative decrease when a
/// call is late.
class AimdLimit {
public:
    explicit AimdLimit(std::uint32_t slots);

    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }
    void addSample(const RunSample& sample);

private:
    double m_slots;
    double m_limit;
};

/// \brief A concurrency limit with its state.
using ConcurrencyLimit = std::variant<FixedLimit, GradientLimit, AimdLimit, LearntLimit, StepwiseLimit>;

/// \returns whether \a limit also takes samples of runs during which the server reported a slowdown. Long
/// runs meet a slowdown more often, so leaving these runs out makes the work time at high concurrency look
/// shorter than it is.
inline bool learnsFromSlowedRuns(const ConcurrencyLimit& limit)
{
    return std::holds_alternative<StepwiseLimit>(limit);
}

/// \returns a limit of \a kind for a backend server.
/// \param slots of the server; 0 if unknown, then one call runs at a time.
/// \param share of the slots, for FixedLimit and StepwiseLimit.
ConcurrencyLimit makeConcurrencyLimit(ConcurrencyLimitKind kind, std::uint32_t slots, double share);

} // namespace robinrun
