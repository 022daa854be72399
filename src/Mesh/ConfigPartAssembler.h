#pragma once

#include "Core/Result.h"
#include "Wire/DeltaCodec.h"
#include "peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace robinrun {

/// \brief Puts a copy of the configuration together from the parts that peers send.
///
/// What has arrived stays when a peer falls silent; the next one is asked for the rest. Only one copy is put
/// together at a time. Cost: O(bytes of the part); the bytes that have arrived.
class ConfigPartAssembler {
public:
    /// Longest text that is taken, and longest copy.
    static constexpr std::size_t maxTextBytes = 16U << 20U;

    /// What became of a part.
    enum class PartResult {
        Ignored, ///< it doesn't follow what has arrived: nothing changes
        Incomplete, ///< taken; the next part is wanted
        Complete, ///< the copy is whole: take it by text()
    };

    /// \param ownVersion in force here; 0 if none is. \param ownText of it.
    /// \returns what to ask a peer for.
    proto::ConfigPartRequest makeRequest(std::uint64_t ownVersion, const std::string& ownText) const;

    /// \brief Takes a part in. \param ownVersion in force here.
    PartResult addPart(const proto::ConfigPart& part, std::uint64_t ownVersion);

    /// \brief Reads the copy that is whole, and begins anew. \param ownText the text in force here.
    /// After an error differences are not asked for until adopted().
    Result<std::string, DeltaError> decodeCopy(const std::string& ownText);

    /// \brief Another version is in force here.
    void onAdopted();

private:
    void reset();

    bool m_acceptsDeltas = true;
    std::uint64_t m_baseVersion = 0;
    std::uint64_t m_digest = 0; ///< of the whole copy; 0: nothing has arrived
    std::size_t m_copyBytes = 0; ///< of the whole copy
    std::string m_received;
};

} // namespace robinrun
