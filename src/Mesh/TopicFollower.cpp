#include "Mesh/TopicFollower.h"

#include "Core/Log.h"

#include <algorithm>
#include <utility>

namespace robinrun {
namespace {

    /// Retry delays are drawn between this fraction of their length and their full length.
    constexpr double minJitterFactor = 0.5;

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

void TopicFollower::recordReadSent(Duration wait)
{
    m_readWait = wait;
    ++m_callCount;
    m_isReading = true;
    m_readSentAt = monotonicNow();
}

void TopicFollower::readNewest()
{
    recordReadSent(Duration::zero());
    m_store->newest(
        m_options.topic, [this, isAlive = m_isAlive](const Result<KeyedPage, PlatformError>& page) {
            if (!*isAlive)
                return;
            if (page)
                m_isCaughtUp = true;
            onReadEnded(page);
        });
}

double TopicFollower::drawJitter()
{
    return minJitterFactor + (1 - minJitterFactor) * m_random->unit();
}

void TopicFollower::continueReading()
{
    if (std::exchange(m_isPausing, false) && m_options.maySkipRead && m_options.maySkipRead())
        return pause();
    if (m_options.mayStandBy && m_options.mayStandBy())
        return enterStandby();
    if (!m_isCaughtUp)
        return readNewest();
    readNext();
}

void TopicFollower::enterStandby()
{
    m_isOnStandby = true;
    // Any number of versions may be written while other nodes read. After standby the newest record of each
    // key is read instead of all of them: thirty versions of 600 KB take 14 s on a link of 10 Mbit/s, one
    // takes half a second.
    m_isCaughtUp = false;
    // Other nodes stand by because this node reports that it follows. An answer from before the standby does
    // not prove that the store still answers.
    setAnswered(false);
}

void TopicFollower::resume()
{
    if (std::exchange(m_isOnStandby, false))
        readNewest();
}

Duration TopicFollower::nextWait() const
{
    // A store that is down may never answer, and the failure of a waiting read is detected only after its
    // full wait. A read that does not wait ends after the timeout of the call, so that a recovery is detected
    // within a timeout and a retry delay.
    return m_isLastReadAnswered && m_options.drawWait ? m_options.drawWait() : Duration::zero();
}

bool TopicFollower::endPauseAfter(Duration delay)
{
    if (m_isPausing)
        scheduleRead(delay);
    return m_isPausing;
}

void TopicFollower::readNext()
{
    recordReadSent(nextWait());
    m_store->follow(m_options.topic, m_nextPosition, m_readWait,
        [this, isAlive = m_isAlive](const Result<KeyedPage, PlatformError>& page) {
            if (*isAlive)
                onReadEnded(page);
        });
}

void TopicFollower::onReadEnded(const Result<KeyedPage, PlatformError>& page)
{
    m_isReading = false;
    if (!page)
        return onReadFailed(page.error());
    m_retryDelay = {};
    updateConfirmedAt(page.value(), monotonicNow());
    m_nextPosition = page.value().next;
    countUnreadable(page.value());
    m_handler(page.value());
    setConnected(true, "");
    setAnswered(true);
    if (!m_options.drawPause)
        return continueReading();
    pause();
}

void TopicFollower::pause()
{
    m_isPausing = true;
    scheduleRead(m_options.drawPause());
}

void TopicFollower::updateConfirmedAt(const KeyedPage& page, Instant now)
{
    const bool hasNewRecords = m_readWait > Duration::zero() && !page.records.empty();
    m_confirmedAt = hasNewRecords ? now : std::min(m_readSentAt + m_readWait, now);
}

void TopicFollower::countUnreadable(const KeyedPage& page)
{
    if (!page.unreadable)
        return;
    m_unreadableEntries += page.unreadable;
    log(LogLevel::Warning, "store-entries-unreadable",
        { { "topic", m_options.topic }, { "entries", page.unreadable }, { "next", page.next.offset } });
}

void TopicFollower::onReadFailed(const PlatformError& error)
{
    if (error.kind == PlatformErrorKind::Forgotten) {
        log(LogLevel::Info, "topic-forgotten",
            { { "topic", m_options.topic }, { "from", m_nextPosition.offset }, { "why", error.message } });
        return readNewest();
    }
    ++m_failureCount;
    m_failedAt = monotonicNow();
    setConnected(false, std::string(nameOf(error.kind)) + ": " + error.message);
    setAnswered(false);
    m_retryDelay = m_retryDelay > Duration::zero() ? std::min(2 * m_retryDelay, m_options.maxRetryDelay())
                                                   : m_options.initialRetryDelay;
    scheduleRead(fromSeconds(toSeconds(m_retryDelay) * drawJitter()));
}

void TopicFollower::scheduleRead(Duration delay)
{
    m_readTimer = Timer::once(m_base, delay, [this] { continueReading(); });
}

void TopicFollower::setAnswered(bool isAnswered)
{
    if (std::exchange(m_isLastReadAnswered, isAnswered) != isAnswered && m_options.onFollowingChanged)
        m_options.onFollowingChanged();
}

void TopicFollower::setConnected(bool isConnected, const std::string& cause)
{
    const bool isChanged = m_isConnected != isConnected || (!isConnected && !m_hasLoggedLoss);
    m_isConnected = isConnected;
    if (!isChanged)
        return;
    m_hasLoggedLoss = !isConnected;
    log(isConnected ? LogLevel::Info : LogLevel::Warning, isConnected ? "store-reached" : "store-lost",
        { { "topic", m_options.topic }, { "why", cause }, { "next", m_nextPosition.offset },
            { "read_ms", toMilliseconds(monotonicNow() - m_readSentAt) } });
}

} // namespace robinrun
