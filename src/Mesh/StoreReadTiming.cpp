#include "Mesh/StoreReadTiming.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// Maximum rate of reads that all followers together start on a quiet topic, within the bounds of a wait.
    /// Each call has a cost. At this rate, 0.2 s pass on average until one of the reads that the store has
    /// lost ends.
    constexpr double maxReadsPerSecond = 6;
    /// A read that the store has lost is detected after its wait and the store's timeout of 1 s, that is
    /// after 2.5 s, and retried after 2.6 s with the first retry delay of 0.1 s. A change must be in force
    /// within 2 s if the store has been available for 3 s.
    constexpr Duration smallSystemMaxWait = 1500ms;
    /// The store permits waits of up to 30 s.
    constexpr Duration absoluteMaxWait = 25s;
    /// After a change all followers start to wait at the same moment. Their waits are spread evenly from this
    /// minimum up, so that some reads end soon whenever the store loses them. The minimum is not 0 because
    /// the shortest reads would cause most of the calls.
    constexpr Duration minWait = 700ms;

    /// Retry delays of nodes that are not among the first to detect the store's recovery. A read that was
    /// sent just before the recovery ends after the timeout of 1 s, so that with the delay of 1.5 s the next
    /// read starts within 2.5 s; it must start within 3 s.
    constexpr Duration fastMaxRetryDelay = 1s;
    constexpr Duration slowMinRetryDelay = 1500ms;
    /// Rate of retries above which the delays increase with the number of nodes (from 600 nodes on), if each
    /// delay were the maximum. The rate is a fifth of what a store admits. Delays are drawn from half of
    /// their maximum up, so the actual rate is a third higher.
    constexpr double maxRetriesPerSecond = 400;
    /// In larger systems a node receives news within milliseconds from those that must retry quickly.
    constexpr Duration slowMaxRetryDelay = 4s;

} // namespace

double StoreReadTiming::expectedFollowers(std::size_t nodes) const
{
    const auto targetFollowers = static_cast<double>(m_options.targetFollowers);
    const auto contacts = static_cast<double>(std::max<std::size_t>(m_options.maxContacts, 1));
    const auto nodeCount = static_cast<double>(nodes);
    const double followerFraction = std::min(targetFollowers / contacts, 1.0);
    return std::min(std::max(targetFollowers, nodeCount * followerFraction), std::max(nodeCount, 1.0));
}

Duration StoreReadTiming::maxWait(std::size_t nodes) const
{
    // Waits are distributed evenly between the minimum and the maximum, so their mean is half of the sum.
    const auto meanWait = fromSeconds(expectedFollowers(nodes) / maxReadsPerSecond);
    return std::clamp(2 * meanWait - minWait, smallSystemMaxWait, absoluteMaxWait);
}

Duration StoreReadTiming::nextWait(std::size_t nodes, double uniformSample) const
{
    const auto range = maxWait(nodes) - minWait;
    return minWait + fromSeconds(toSeconds(range) * uniformSample);
}

Duration StoreReadTiming::maxRetryDelay(std::size_t nodes, bool mayRetrySlowly)
{
    if (!mayRetrySlowly)
        return fastMaxRetryDelay;
    const auto sharedDelay = fromSeconds(static_cast<double>(nodes) / maxRetriesPerSecond);
    return std::clamp(sharedDelay, slowMinRetryDelay, slowMaxRetryDelay);
}

} // namespace robinrun
