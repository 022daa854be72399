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

/// \brief The ways to bound the calls that run on a backend server at once. The middle ones are kept as
/// baselines to measure against.
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

/// \brief A share of the slots that never changes.
class FixedLimit {
public:
    /// \param share of the slots, in (0, 1].
    FixedLimit(std::uint32_t slots, double share);

    std::uint32_t limit() const { return m_limit; }
    void addSample(const RunSample&) { }

private:
    std::uint32_t m_limit;
};

/// \brief Follows the gradient of work time, as TCP Vegas does: the limit shrinks by the ratio of the
/// long-term to the present work time, and grows by the square root of itself.
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

/// \brief Additive increase while calls at the limit end in time, multiplicative decrease when one is late.
class AimdLimit {
public:
    explicit AimdLimit(std::uint32_t slots);

    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }
    void addSample(const RunSample& sample);

private:
    double m_slots;
    double m_limit;
};

/// \brief A way to bound concurrency, with its state.
using ConcurrencyLimit = std::variant<FixedLimit, GradientLimit, AimdLimit, LearntLimit, StepwiseLimit>;

/// \returns whether \a limit learns from runs during which the server told of a slow-down, too: long runs
/// meet more of these, so that without them calls seem to take less long beside more of them than they do.
inline bool learnsFromSlowedRuns(const ConcurrencyLimit& limit)
{
    return std::holds_alternative<StepwiseLimit>(limit);
}

/// \returns the limit of \a kind for a backend server.
/// \param slots of the server; 0 if they are not known yet: then one call runs at a time.
/// \param share of the slots, for FixedLimit and StepwiseLimit.
ConcurrencyLimit makeConcurrencyLimit(ConcurrencyLimitKind kind, std::uint32_t slots, double share);

} // namespace robinrun
