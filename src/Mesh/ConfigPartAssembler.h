#pragma once

#include "Core/Result.h"
#include "Wire/DeltaCodec.h"
#include "peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace robinrun {

/// \brief Assembles a copy of the configuration from the parts that peers send.
///
/// If a peer stops answering, the received parts are kept and the next peer is asked for the rest. Only one
/// copy is assembled at a time.
/// Cost: O(bytes of the part); memory holds the received bytes.
class ConfigPartAssembler {
public:
    /// Maximum size of a decoded text, and of a copy, in bytes.
    static constexpr std::size_t maxTextBytes = 16U << 20U;

    /// The effect of a received part.
    enum class PartResult {
        Ignored, ///< the part does not continue the received bytes; nothing changes
        Incomplete, ///< the part was added; the next part is needed
        Complete, ///< the copy is complete and can be read by decodeCopy()
    };

    /// \param ownVersion the version in force at this node; 0 if there is none.
    /// \param ownText the text of \a ownVersion.
    /// \returns the request to send to a peer.
    proto::ConfigPartRequest makeRequest(std::uint64_t ownVersion, const std::string& ownText) const;

    /// \brief Adds a received part to the copy.
    /// \param part the received part.
    /// \param ownVersion the version in force at this node.
    /// \returns the effect of the part.
    PartResult addPart(const proto::ConfigPart& part, std::uint64_t ownVersion);

    /// \brief Decodes the complete copy and resets the assembler.
    /// \param ownText the text in force at this node.
    /// \returns the text, or an error. After an error, only full copies are requested until onAdopted() is
    /// called.
    Result<std::string, DeltaError> decodeCopy(const std::string& ownText);

    /// \brief Resets the assembler because another version is now in force at this node.
    void onAdopted();

private:
    void reset();

    bool m_acceptsDeltas = true;
    std::uint64_t m_baseVersion = 0;
    std::uint64_t m_digest = 0; ///< digest of the complete copy; 0 if nothing has arrived
    std::size_t m_copyBytes = 0; ///< size of the complete copy
    std::string m_received;
};

} // namespace robinrun
