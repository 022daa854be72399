#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace robinrun {

/// \brief What owners that end have told this ingress: which of its calls they have received, as nothing else
/// is run there any more.
class LastWords {
public:
    struct Word {
        std::uint64_t incarnation = 0; ///< of the owner's node
        std::uint64_t highest = 0; ///< number that was received
    };

    void take(const std::string& node, Word word) { m_words[node] = word; }

    /// \param incarnation of the owner that the call was meant for, which no other one runs; 0: any.
    /// \returns whether the call has provably not run at \a node and never will.
    bool wasNeverRun(const std::string& node, std::uint64_t incarnation, std::uint64_t number) const;

private:
    std::unordered_map<std::string, Word> m_words; ///< the latest one of each node
};

} // namespace robinrun
