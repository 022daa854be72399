#pragma once

#include "Core/Time.h"

#include <cstddef>

namespace robinrun {

/// \brief Decides how long a read of the configuration waits at the store for news (long polling), and how
/// long a node delays between two failed reads.
///
/// A store that fails may lose the reads that wait there: their connections stay open and no answer arrives.
/// Until its wait and the timeout are over, such a read cannot be told from a read of a quiet topic.
/// Therefore a wait is short if few nodes follow. It increases with their number, so that all followers
/// together start a bounded number of reads per second. Each single follower then detects a failure late, but
/// one of many detects it soon, and the others receive news from it.
///
/// Caveat: beyond about 300 nodes (with 4 followers per 16 contacts) the maximum wait applies, and the rate
/// of reads increases with the number of nodes.
/// Cost: O(1); no I/O.
class StoreReadTiming {
public:
    struct Options {
        /// Followers that a node must hear from before it stands by. \sa FollowerSelection
        std::size_t targetFollowers = 4;
        std::size_t maxContacts = 16; ///< peers that each node hears from
    };

    explicit StoreReadTiming(Options options)
        : m_options(options)
    {
    }

    /// \returns the approximate number of followers of the configuration among \a nodes nodes.
    double expectedFollowers(std::size_t nodes) const;

    /// \returns the maximum wait of a read in a system of \a nodes nodes.
    Duration maxWait(std::size_t nodes) const;

    /// \param nodes number of nodes.
    /// \param uniformSample evenly distributed in [0, 1).
    /// \returns the wait of the next read.
    Duration nextWait(std::size_t nodes, double uniformSample) const;

    /// \param nodes number of nodes.
    /// \param mayRetrySlowly whether enough other nodes detect the store's recovery first; \sa
    /// FollowerSelection::mayRetrySlowly().
    /// \returns the maximum delay after a failed read.
    static Duration maxRetryDelay(std::size_t nodes, bool mayRetrySlowly);

private:
    Options m_options;
};

} // namespace robinrun
