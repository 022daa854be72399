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

/// \brief Gives peers copies of the configuration, in parts that they ask for one after the other.
///
/// A copy shares its link with calls and heartbeats. So it is compressed, leaves out what the asker has in a
/// former version, and is sent in parts of which each asker waits for one at a time. Parts that have arrived
/// are not sent again, also when the asker goes on with another peer: equal texts give equal copies.
/// Cost: encoding about 2.5 ns a byte of text, once for each version that askers have; the texts of former
/// versions up to formerBytes, or one.
class ConfigPartServer {
public:
    struct Options {
        /// A part takes 13 ms on a link of 10 Mbit/s; with 16 contacts that ask at once a heartbeat behind
        /// their parts comes 0.2 s late, and a link ends after 0.5 s.
        std::size_t maxPartBytes = 16U << 10U;
        /// Bytes of former texts: hundreds of small ones, or a few of some thousand routes.
        std::size_t maxFormerTextBytes = 2U << 20U;
        /// Bytes of encoded copies that are kept: a hundred whole ones of 2,800 routes, or thousands of
        /// differences. Those that were asked for last stay.
        std::size_t maxCachedCopyBytes = 4U << 20U;
    };

    ConfigPartServer() = default;
    explicit ConfigPartServer(Options options)
        : m_options(options)
    {
    }

    /// \brief \a former is no longer in force here, but may be at peers.
    void addFormerText(ConfigVersionText former);

    /// \param version in force here. \param text of it.
    /// \returns the part that \a request asks for, or the first one of another copy if there is no such copy;
    /// nothing if the asker has \a version already.
    std::optional<proto::ConfigPart> answer(
        const proto::ConfigPartRequest& request, std::uint64_t version, std::string_view text);

private:
    struct Copy {
        std::uint64_t version = 0;
        std::uint64_t baseVersion = 0; ///< 0: by itself
        std::uint64_t digest = 0;
        std::string bytes;
    };

    const Copy& findOrEncodeCopy(
        const proto::ConfigPartRequest& request, std::uint64_t version, std::string_view text);
    const Copy* findStartedCopy(const proto::ConfigPartRequest& request);
    /// \returns the first copy of which \a matches holds, as the one used last; null if there is none.
    template <class Predicate> const Copy* useCopy(Predicate matches);
    const ConfigVersionText* findFormerText(std::uint64_t version, std::uint64_t digest) const;

    Options m_options;
    std::deque<ConfigVersionText> m_formerTexts; ///< the latest at the end
    std::size_t m_formerTextBytes = 0;
    std::deque<Copy> m_cachedCopies; ///< the one used last at the end
    std::size_t m_cachedCopyBytes = 0;
};

} // namespace robinrun
