#pragma once

#include "peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief The text of one version of the configuration.
struct ConfigVersionText {
    std::uint64_t version = 0;
    std::string text;
};

/// \brief Sends copies of the configuration to peers, in parts that each peer requests one after the other.
///
/// A copy shares its link with calls and heartbeats. Therefore a copy is compressed, is encoded as a
/// difference from an earlier version if the peer has one, and is sent in parts. Each peer has at most one
/// part outstanding. Parts that have arrived are not sent again, even if the peer continues the transfer with
/// another node, because equal texts give equal copies.
/// Cost: encoding takes about 2.5 ns per byte of text, once for each version that peers have. Memory holds
/// former texts up to `maxFormerTextBytes`, or one text if it is larger.
class ConfigPartServer {
public:
    struct Options {
        /// Maximum size of a part in bytes. A part takes 13 ms on a link of 10 Mbit/s. If 16 contacts request
        /// parts at once, a heartbeat queued behind their parts is 0.2 s late; a link is closed after 0.5 s
        /// without a heartbeat.
        std::size_t maxPartBytes = 16U << 10U;
        /// Maximum total size of former texts in bytes: room for hundreds of small texts, or for a few with
        /// some thousand routes.
        std::size_t maxFormerTextBytes = 2U << 20U;
        /// Maximum total size of cached encoded copies in bytes: room for a hundred full copies of 2,800
        /// routes, or for thousands of differences. The least recently used copies are evicted first.
        std::size_t maxCachedCopyBytes = 4U << 20U;
    };

    ConfigPartServer() = default;
    explicit ConfigPartServer(Options options)
        : m_options(options)
    {
    }

    /// \brief Stores a text that is no longer in force here but may still be in force at peers.
    void addFormerText(ConfigVersionText former);

    /// \param request the version that the peer has, and the part that it needs.
    /// \param version the version in force at this node.
    /// \param text the text of \a version.
    /// \returns the requested part. If no such copy exists, returns the first part of another copy. Returns
    /// nothing if the peer already has \a version.
    std::optional<proto::ConfigPart> answer(
        const proto::ConfigPartRequest& request, std::uint64_t version, std::string_view text);

private:
    struct Copy {
        std::uint64_t version = 0;
        std::uint64_t baseVersion = 0; ///< 0 for a full copy
        std::uint64_t digest = 0;
        std::string bytes;
    };

    const Copy& findOrEncodeCopy(
        const proto::ConfigPartRequest& request, std::uint64_t version, std::string_view text);
    const Copy* findStartedCopy(const proto::ConfigPartRequest& request);
    /// \returns the first cached copy that \a matches accepts, and marks it as most recently used; null if
    /// there is none.
    template <class Predicate> const Copy* useCopy(Predicate matches);
    const ConfigVersionText* findFormerText(std::uint64_t version, std::uint64_t digest) const;

    Options m_options;
    std::deque<ConfigVersionText> m_formerTexts; ///< latest last
    std::size_t m_formerTextBytes = 0;
    std::deque<Copy> m_cachedCopies; ///< most recently used last
    std::size_t m_cachedCopyBytes = 0;
};

} // namespace robinrun
