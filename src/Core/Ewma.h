#pragma once

#include "Core/Time.h"

#include <cmath>

namespace robinrun {

/// \brief An exponentially weighted mean over samples; the first sample sets it.
class Ewma {
public:
    /// \param weight of a new sample, in (0, 1].
    /// \param start value before any sample.
    explicit Ewma(double weight, double start = 0)
        : m_weight(weight)
        , m_value(start)
    {
    }

    void add(double sample)
    {
        m_value = m_isSet ? m_value + m_weight * (sample - m_value) : sample;
        m_isSet = true;
    }

    double value() const { return m_value; }
    bool isSet() const { return m_isSet; }

private:
    double m_weight;
    double m_value;
    bool m_isSet = false;
};

/// \returns the share of its weight that news of age \a age keeps, with time constant \a tau: exp(-age/tau).
inline double freshness(Duration age, Duration tau)
{
    if (age <= Duration::zero())
        return 1;
    return std::exp(-toSeconds(age) / toSeconds(tau));
}

} // namespace robinrun
