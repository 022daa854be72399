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
class CallSizeEstimate {
public:
    /// \brief A call of \a callClass and its answer had \a bytes of bodies.
    void addCall(std::string_view callClass, std::size_t bytes)
    {
        const auto sample = static_cast<double>(bytes) + framingBytes;
        auto it = m_meanBytesByClass.find(callClass);
        if (it == m_meanBytesByClass.end())
            it = m_meanBytesByClass.emplace(std::string(callClass), Ewma(classSampleWeight)).first;
        it->second.add(sample);
        m_meanBytes.add(sample);
    }

    /// \returns the bytes of a call of \a callClass over those of a mean call here; 1 before any was seen.
    double relativeBytes(std::string_view callClass) const
    {
        const auto it = m_meanBytesByClass.find(callClass);
        return it == m_meanBytesByClass.end() || !m_meanBytes.isSet()
            ? 1
            : it->second.value() / m_meanBytes.value();
    }

private:
    static constexpr double classSampleWeight = 0.05; ///< of one call: the last 20 or so count
    static constexpr double meanSampleWeight = 0.01; ///< of one call, of any class
    static constexpr double framingBytes = 500; ///< bytes of headers and envelopes of a call and its answer

    std::map<std::string, Ewma, std::less<>> m_meanBytesByClass;
    Ewma m_meanBytes { meanSampleWeight };
};

} // namespace robinrun
