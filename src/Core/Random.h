#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>

namespace robinrun {

/// \brief A seeded source of random numbers: the same seed gives the same run.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// \returns 64 random bits.
    std::uint64_t bits() { return m_engine(); }

    /// \returns a number in [0, 1).
    double unit() { return static_cast<double>(m_engine() >> 11U) * 0x1.0p-53; }

    /// \returns a number in [0, n). \a n must be above 0.
    std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

    /// \returns whether an event of probability \a p happens.
    bool chance(double p) { return unit() < p; }

    /// \returns an exponentially distributed number with the given mean.
    double exponential(double mean) { return -mean * std::log1p(-unit()); }

    /// \returns a standard normal number (Box-Muller; same on every platform).
    double normal()
    {
        constexpr double twoPi = 6.283185307179586;
        const double radius = std::sqrt(-2.0 * std::log1p(-unit()));
        return radius * std::cos(twoPi * unit());
    }

    /// \returns a log-normal number with the given mean and shape \a sigma.
    double logNormal(double mean, double sigma)
    {
        return mean * std::exp(sigma * normal() - sigma * sigma / 2);
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace robinrun
