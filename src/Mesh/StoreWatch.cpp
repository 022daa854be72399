#include "Mesh/StoreWatch.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// Reads that all followers together start a second on a quiet topic, as far as the bounds of a wait
    /// allow. Each call has its price; with so many, of the reads that a store forgot one ends in 0.2 s on
    /// average.
    constexpr double readsPerSecond = 6;
    /// A read that the store forgot is noticed after its wait and the store's timeout of 1 s: 2.5 s, and with
    /// the first pause after a failure (0.1 s) read again in 2.6 s. Changes have to be in force in 2 s where
    /// the store has been well for 3 s.
    constexpr Duration longestWaitOfFew = 1500ms;
    /// The store allows 30 s.
    constexpr Duration longestWaitOfAll = 25s;
    /// After a change all followers start to wait at the same moment. Their waits are spread evenly from here
    /// on, so that whenever the store forgets them some end soon; not from 0 on, since the shortest reads
    /// make most of the calls.
    constexpr Duration shortestWait = 700ms;

    /// Nodes that are not among the first to notice the store's return. A read sent just before it is given
    /// up after the timeout of 1 s, so with this pause the next one is out in 2.5 s; it has to be in 3 s.
    constexpr Duration pauseOften = 1s;
    constexpr Duration pauseSeldom = 1500ms;
    /// Tries a second from which on pauses grow with the nodes (at 600), were each pause the longest; a fifth
    /// of what a store admits. Pauses are drawn from half of that on, so it is a third more.
    constexpr double triesPerSecond = 400;
    /// Nodes beyond that hear of news from those which may not lag, within milliseconds.
    constexpr Duration longestPauseOfMany = 4s;

} // namespace

double StoreWatch::followersOf(std::size_t nodes) const
{
    const auto enough = static_cast<double>(m_options.followers);
    const auto contacts = static_cast<double>(std::max<std::size_t>(m_options.contacts, 1));
    const auto all = static_cast<double>(nodes);
    const double share = std::min(enough / contacts, 1.0);
    return std::min(std::max(enough, all * share), std::max(all, 1.0));
}

Duration StoreWatch::longestWait(std::size_t nodes) const
{
    // Waits lie evenly between the shortest and the longest, so their mean is half of the sum.
    const auto mean = fromSeconds(followersOf(nodes) / readsPerSecond);
    return std::clamp(2 * mean - shortestWait, longestWaitOfFew, longestWaitOfAll);
}

Duration StoreWatch::wait(std::size_t nodes, double draw) const
{
    const auto range = longestWait(nodes) - shortestWait;
    return shortestWait + fromSeconds(toSeconds(range) * draw);
}

Duration StoreWatch::longestPause(std::size_t nodes, bool mayLag)
{
    if (!mayLag)
        return pauseOften;
    const auto shared = fromSeconds(static_cast<double>(nodes) / triesPerSecond);
    return std::clamp(shared, pauseSeldom, longestPauseOfMany);
}

} // namespace robinrun
