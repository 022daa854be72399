#pragma once

#include "Core/Ewma.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief Estimates how many bytes the calls of each class transfer, answers included.
///
/// The estimate scales the cost of the bytes that a call to another data hall transfers. Classes differ by a
/// factor of six in the bytes of a call, while the calls with the most bytes are worth only twice as much as
/// those with the fewest. With one cost for all classes, calls of 9 KB were sent to other data halls as often
/// as calls of 1.5 KB. Cost: O(log classes); about 100 bytes of memory per class.
class CallSizeEstimate {
public:
    /// \brief Records a call of \a callClass. \param bytes size of the bodies of the request and the answer.
    void addCall(std::string_view callClass, std::size_t bytes)
    {
        const auto sample = static_cast<double>(bytes) + framingBytes;
        auto it = m_meanBytesByClass.find(callClass);
        if (it == m_meanBytesByClass.end())
            it = m_meanBytesByClass.emplace(std::string(callClass), Ewma(classSampleWeight)).first;
        it->second.add(sample);
        m_meanBytes.add(sample);
    }

    /// \returns the mean bytes of a call of \a callClass, divided by the mean bytes of all calls at this
    /// ingress; 1 if no call of the class has been recorded.
    double relativeBytes(std::string_view callClass) const
    {
        const auto it = m_meanBytesByClass.find(callClass);
        return it == m_meanBytesByClass.end() || !m_meanBytes.isSet()
            ? 1
            : it->second.value() / m_meanBytes.value();
    }

private:
    static constexpr double classSampleWeight = 0.05; ///< a mean covers about the last 20 calls of its class
    /// The mean covers about the last 100 calls of all classes.
    static constexpr double meanSampleWeight = 0.01;
    static constexpr double framingBytes = 500; ///< headers and envelopes of a call and its answer

    std::map<std::string, Ewma, std::less<>> m_meanBytesByClass;
    Ewma m_meanBytes { meanSampleWeight };
};

} // namespace robinrun
