#pragma once

#include "Core/Ewma.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief How many bytes calls of each class move, with their answers: what a call to another data hall costs
/// there beside its time.
///
/// Classes differ by a factor of six in what they move, and those that move most are worth twice as much, not
/// six times. With one price for all of them, calls of 9 KB left their hall as readily as those of 1.5 KB.
/// Cost: O(log classes); about 100 bytes a class.
class CallBytes {
public:
    /// \brief A call of \a callClass and its answer had \a bytes of bodies.
    void add(std::string_view callClass, std::size_t bytes)
    {
        const auto sample = static_cast<double>(bytes) + framing;
        auto it = m_classes.find(callClass);
        if (it == m_classes.end())
            it = m_classes.emplace(std::string(callClass), Ewma(classWeight)).first;
        it->second.add(sample);
        m_mean.add(sample);
    }

    /// \returns the bytes of a call of \a callClass over those of a mean call here; 1 before any was seen.
    double relative(std::string_view callClass) const
    {
        const auto it = m_classes.find(callClass);
        return it == m_classes.end() || !m_mean.isSet() ? 1 : it->second.value() / m_mean.value();
    }

private:
    static constexpr double classWeight = 0.05; ///< of one call: the last 20 or so count
    static constexpr double meanWeight = 0.01; ///< of one call, of any class
    static constexpr double framing = 500; ///< bytes of headers and envelopes of a call and its answer

    std::map<std::string, Ewma, std::less<>> m_classes;
    Ewma m_mean { meanWeight };
};

} // namespace robinrun
