#include "Mesh/StoreReadTiming.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// Reads that all followers together start a second on a quiet topic, as far as the bounds of a wait
    /// allow. Each call has its price; with so many, of the reads that a store forgot one ends in 0.2 s on
    /// average.
    constexpr double maxReadsPerSecond = 6;
    /// A read that the store forgot is noticed after its wait and the store's timeout of 1 s: 2.5 s, and with
    /// the first pause after a failure (0.1 s) read again in 2.6 s. Changes have to be in force in 2 s where
    /// the store has been well for 3 s.
    constexpr Duration smallSystemMaxWait = 1500ms;
    /// The store allows 30 s.
    constexpr Duration absoluteMaxWait = 25s;
    /// After a change all followers start to wait at the same moment. Their waits are spread evenly from here
    /// on, so that whenever the store forgets them some end soon; not from 0 on, since the shortest reads
    /// make most of the calls.
    constexpr Duration minWait = 700ms;

    /// Nodes that are not among the first to notice the store's return. A read sent just before it is given
    /// up after the timeout of 1 s, so with this pause the next one is out in 2.5 s; it has to be in 3 s.
    constexpr Duration fastMaxRetryDelay = 1s;
    constexpr Duration slowMinRetryDelay = 1500ms;
    /// Tries a second from which on pauses grow with the nodes (at 600), were each pause the longest; a fifth
    /// of what a store admits. Pauses are drawn from half of that on, so it is a third more.
    constexpr double maxRetriesPerSecond = 400;
    /// Nodes beyond that hear of news from those which may not lag, within milliseconds.
    constexpr Duration slowMaxRetryDelay = 4s;

} // namespace

double StoreReadTiming::expectedFollowers(std::size_t nodes) const
{
    const auto targetFollowers = static_cast<double>(m_options.targetFollowers);
    const auto contacts = static_cast<double>(std::max<std::size_t>(m_options.maxContacts, 1));
    const auto nodeCount = static_cast<double>(nodes);
    const double share = std::min(targetFollowers / contacts, 1.0);
    return std::min(std::max(targetFollowers, nodeCount * share), std::max(nodeCount, 1.0));
}

Duration StoreReadTiming::maxWait(std::size_t nodes) const
{
    // Waits lie evenly between the shortest and the longest, so their mean is half of the sum.
    const auto mean = fromSeconds(expectedFollowers(nodes) / maxReadsPerSecond);
    return std::clamp(2 * mean - minWait, smallSystemMaxWait, absoluteMaxWait);
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
    const auto shared = fromSeconds(static_cast<double>(nodes) / maxRetriesPerSecond);
    return std::clamp(shared, slowMinRetryDelay, slowMaxRetryDelay);
}

} // namespace robinrun
