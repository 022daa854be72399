#pragma once

#include "Core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Decides when to ask which peer for a newer configuration.
///
/// A configuration may be large and bytes between data halls are dear, so one peer is asked at a time, one of
/// the own data hall if such a one has it soon, and a node that reads the store itself gives the store some
/// time to deliver. Cost: O(peers that have it), which are contacts.
class ConfigPullScheduler {
public:
    struct Options {
        Duration storeHeadStart = 150ms; ///< for a node that reads the store, which usually answers before
        Duration ownHallHeadStart = 100ms; ///< for a peer of the own data hall to have it too
        /// For a part of a copy, before another peer is asked: twice what it takes when 16 peers ask one
        /// whose link has 10 Mbit/s. In 2 s, in which a change is to be in force, four peers can be asked.
        Duration partTimeout = 400ms;
        /// For two peers to answer, before the store is asked although others follow it.
        Duration overdueTimeout = 800ms;
    };

    ConfigPullScheduler() = default;
    explicit ConfigPullScheduler(Options options)
        : m_options(options)
    {
    }

    /// \brief The peer at \a address has \a version, newer than the own one.
    void onPeerVersion(const std::string& address, std::uint64_t version, bool isInOwnHall, Instant now);

    /// \brief \a version is in force here now.
    void onAdopted(std::uint64_t version, Instant now);

    /// \param readsStore whether this node waits for news at the store itself.
    /// \returns the address of the peer to ask now, until asked() tells that it was.
    std::optional<std::string> peerToAsk(bool readsStore, Instant now) const;

    /// \returns the newest version that a peer has; 0 if none is newer than the own one.
    std::uint64_t newestPeerVersion() const { return m_newestVersion; }

    /// \brief The peer at \a address was asked. If it doesn't answer, the next one that has it is asked.
    void onRequestSent(const std::string& address, Instant now);

    /// \brief The peer at \a address can't be asked now: the next one that has it is.
    void removePeer(const std::string& address);

    /// \returns whether a newer version was heard of, and for so long nothing has come, that peers can't be
    /// relied on to give it.
    bool isOverdue(Instant now) const
    {
        return m_newestVersion != 0 && now - m_lastProgressAt > m_options.overdueTimeout;
    }

    /// \brief A part of a copy came, and the peer that sent it was asked for the next.
    void onPartReceived(Instant now);

private:
    Options m_options;
    std::uint64_t m_newestVersion = 0; ///< newest that a peer has; 0: nothing to ask for
    std::vector<std::string> m_ownHallPeers; ///< addresses of peers that have it, the last heard at the end
    std::vector<std::string> m_otherHallPeers;
    Instant m_firstHeardAt {};
    Instant m_lastProgressAt {}; ///< the last part or version since m_firstHeard; that if none has come
    Instant m_answerDeadline {}; ///< an answer may still come
};

} // namespace robinrun
