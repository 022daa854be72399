#pragma once

#include "Core/Time.h"

#include <cstddef>

namespace robinrun {

/// \brief Decides how long a read of the configuration waits at the store for news, and how long a node whose
/// reads fail pauses between two of them.
///
/// A store that goes away may forget the reads that wait there: their connections stay up and no answer
/// comes. Until its wait and the time for the answer are over, such a read looks like one of a quiet topic.
/// So a wait is short where few nodes follow. It grows with their number, so that all together start a
/// bounded number of reads a second; then each of them notices late, but one of many soon, and the others
/// hear of news from it.
///
/// Caveat: beyond about 300 nodes (with 4 followers of 16 contacts) the longest wait binds, and the reads a
/// second grow with the nodes. Cost: O(1); no I/O.
class StoreReadTiming {
public:
    struct Options {
        std::size_t targetFollowers = 4; ///< followers that a node hears of before it rests; \sa FollowShare
        std::size_t maxContacts = 16; ///< peers that each node hears
    };

    explicit StoreReadTiming(Options options)
        : m_options(options)
    {
    }

    /// \returns about how many of \a nodes follow the configuration in the store.
    double expectedFollowers(std::size_t nodes) const;

    /// \returns the longest that a read waits where \a nodes live.
    Duration maxWait(std::size_t nodes) const;

    /// \param uniformSample evenly distributed in [0, 1). \returns how long the next read waits.
    Duration nextWait(std::size_t nodes, double uniformSample) const;

    /// \param mayRetrySlowly whether enough others notice the store's return first; \sa
    /// FollowShare::mayLag(). \returns the longest pause after a failed read, at one of \a nodes nodes.
    static Duration maxRetryDelay(std::size_t nodes, bool mayRetrySlowly);

private:
    Options m_options;
};

} // namespace robinrun
