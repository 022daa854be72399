#include "Mesh/TopicFollower.h"

#include "Core/Log.h"

#include <algorithm>
#include <utility>

namespace robinrun {
namespace {

    /// Pauses after failures are drawn between this part of their length and all of it.
    constexpr double leastJitter = 0.5;

} // namespace

TopicFollower::TopicFollower(
    event_base* base, RecordStore& store, Options options, Handler handler, Random& random)
    : m_base(base)
    , m_store(&store)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_random(&random)
{
}

TopicFollower::~TopicFollower()
{
    *m_isAlive = false;
}

void TopicFollower::noteSent(Duration wait)
{
    m_wait = wait;
    ++m_calls;
    m_isReading = true;
    m_sent = monotonicNow();
}

void TopicFollower::readNewest()
{
    noteSent(Duration::zero());
    m_store->newest(
        m_options.topic, [this, isAlive = m_isAlive](const Result<KeyedPage, PlatformError>& page) {
            if (!*isAlive)
                return;
            if (page)
                m_isCaughtUp = true;
            handle(page);
        });
}

double TopicFollower::jitter()
{
    return leastJitter + (1 - leastJitter) * m_random->unit();
}

void TopicFollower::readAgain()
{
    m_isPausing = false;
    if (m_options.mayRest && m_options.mayRest())
        return rest();
    if (!m_isCaughtUp)
        return readNewest();
    readOn();
}

void TopicFollower::rest()
{
    m_isResting = true;
    // While others read, any number of versions may be written: after the rest the newest record of each key
    // is read, not all that came. Thirty versions of 600 KB are 14 s of a link of 10 Mbit/s, one is half a
    // second.
    m_isCaughtUp = false;
    // Other nodes rest because of what this one claims: an answer from before the rest is no evidence after
    // it.
    setAnswered(false);
}

void TopicFollower::wake()
{
    if (std::exchange(m_isResting, false))
        readNewest();
}

Duration TopicFollower::nextWait() const
{
    // A store that is away may never answer, and a read that waits takes its whole wait more to tell. One
    // that does not is given up after the call's timeout alone, so the return is noticed a timeout and a
    // pause later.
    return m_isAnswered && m_options.wait ? m_options.wait() : Duration::zero();
}

bool TopicFollower::readWithin(Duration delay)
{
    if (m_isPausing)
        readLater(delay);
    return m_isPausing;
}

void TopicFollower::readOn()
{
    noteSent(nextWait());
    m_store->follow(m_options.topic, m_next, m_wait,
        [this, isAlive = m_isAlive](const Result<KeyedPage, PlatformError>& page) {
            if (*isAlive)
                handle(page);
        });
}

void TopicFollower::handle(const Result<KeyedPage, PlatformError>& page)
{
    m_isReading = false;
    if (!page)
        return failed(page.error());
    m_retry = {};
    noteConfirmed(page.value(), monotonicNow());
    m_next = page.value().next;
    noteUnreadable(page.value());
    m_handler(page.value());
    setConnected(true, "");
    setAnswered(true);
    if (!m_options.pause)
        return readAgain();
    m_isPausing = true;
    readLater(m_options.pause());
}

void TopicFollower::noteConfirmed(const KeyedPage& page, Instant now)
{
    const bool isNews = m_wait > Duration::zero() && !page.records.empty();
    m_confirmed = isNews ? now : std::min(m_sent + m_wait, now);
}

void TopicFollower::noteUnreadable(const KeyedPage& page)
{
    if (!page.unreadable)
        return;
    m_unreadable += page.unreadable;
    log(LogLevel::Warning, "store-entries-unreadable",
        { { "topic", m_options.topic }, { "entries", page.unreadable }, { "next", page.next.offset } });
}

void TopicFollower::failed(const PlatformError& error)
{
    if (error.kind == PlatformErrorKind::Forgotten) {
        log(LogLevel::Info, "topic-forgotten",
            { { "topic", m_options.topic }, { "from", m_next.offset }, { "why", error.message } });
        return readNewest();
    }
    ++m_failures;
    m_failedAt = monotonicNow();
    setConnected(false, std::string(nameOf(error.kind)) + ": " + error.message);
    setAnswered(false);
    m_retry
        = m_retry > Duration::zero() ? std::min(2 * m_retry, m_options.longestRetry()) : m_options.firstRetry;
    readLater(fromSeconds(toSeconds(m_retry) * jitter()));
}

void TopicFollower::readLater(Duration delay)
{
    m_again = Timer::once(m_base, delay, [this] { readAgain(); });
}

void TopicFollower::setAnswered(bool isAnswered)
{
    if (std::exchange(m_isAnswered, isAnswered) != isAnswered && m_options.changed)
        m_options.changed();
}

void TopicFollower::setConnected(bool isConnected, const std::string& why)
{
    const bool isChanged = m_isConnected != isConnected || (!isConnected && !m_hasToldLost);
    m_isConnected = isConnected;
    if (!isChanged)
        return;
    m_hasToldLost = !isConnected;
    log(isConnected ? LogLevel::Info : LogLevel::Warning, isConnected ? "store-reached" : "store-lost",
        { { "topic", m_options.topic }, { "why", why }, { "next", m_next.offset },
            { "read_ms", toMilliseconds(monotonicNow() - m_sent) } });
}

} // namespace robinrun
