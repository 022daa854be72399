#pragma once

#include "Core/Random.h"
#include "Core/Time.h"
#include "Node/Timer.h"
#include "Platform/RecordStore.h"

#include <cstdint>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Keeps up with one keyed topic of the store: first the newest record of each key, then what comes.
///
/// Reads wait at the store, so that news comes at once and a quiet topic costs a call each `wait`. Between
/// two reads the follower may pause or rest, if others read the topic too. Failed calls are made again after
/// a pause that doubles, with jitter. After a failure or a rest the store's state is unknown, and the next
/// read does not wait: it is answered at once or not at all. Cost: one call at a time.
class TopicFollower {
public:
    struct Options {
        std::string topic;
        /// How long the next read waits, drawn for each; by default none does.
        std::function<Duration()> drawWait = nullptr;
        /// How long to pause between an answer and the next read; none by default.
        std::function<Duration()> drawPause = nullptr;
        /// Whether this node may leave the topic to others for now; asked before each read but the first.
        std::function<bool()> mayStandBy = nullptr;
        /// Told after isFollowing() has changed; by default nobody is.
        std::function<void()> onFollowingChanged = nullptr;
        Duration initialRetryDelay = 100ms; ///< after a failure
        /// The longest time between two tries, so that a store which is back is noticed in time.
        std::function<Duration()> maxRetryDelay = [] { return Duration(1s); };
    };
    using Handler = std::function<void(const KeyedPage&)>;

    /// \param handler gets the records of each answer together, in the order they were written. \param random
    /// for the jitter. The store and \a random must outlive the follower.
    TopicFollower(event_base* base, RecordStore& store, Options options, Handler handler, Random& random);
    ~TopicFollower();
    TopicFollower(const TopicFollower&) = delete;
    TopicFollower& operator=(const TopicFollower&) = delete;

    /// \brief Starts to read; to be called once.
    void start() { readNewest(); }

    /// \brief Ends a pause after \a delay. \returns whether there was one.
    bool endPauseAfter(Duration delay);

    /// \brief Ends a rest: reads at once, without waiting at the store.
    void resume();
    bool isOnStandby() const { return m_isOnStandby; }

    /// \returns whether this node reads the topic, and the store answered its last read. What was answered
    /// before a rest does not count.
    bool isFollowing() const { return m_isLastReadAnswered && !m_isOnStandby; }

    /// \returns the last moment at which the store is known to have had nothing that this node has not read;
    /// nothing if no read was answered yet. A read that waited in vain tells so of the end of its wait, one
    /// that did not wait of when it was sent; one that brought news, of its arrival, less than the way of the
    /// network ago.
    std::optional<Instant> confirmedAt() const { return m_confirmedAt; }

    /// \returns when a read failed last; nothing if none has.
    std::optional<Instant> failedAt() const { return m_failedAt; }

    /// \returns how long the read that is out has been; zero if none is.
    Duration currentReadDuration(Instant now) const
    {
        return m_isReading ? now - m_readSentAt : Duration::zero();
    }

    /// \returns whether everything that was there at the start, or at the end of the last rest, has been
    /// read.
    bool isCaughtUp() const { return m_isCaughtUp; }
    /// \returns whether the last call succeeded.
    bool isConnected() const { return m_isConnected; }
    /// \returns calls made to the store so far, failed ones too.
    std::uint64_t calls() const { return m_callCount; }
    /// \returns how many of them failed.
    std::uint64_t failures() const { return m_failureCount; }
    /// \returns how many entries could not be read and were passed over.
    std::uint64_t unreadableEntries() const { return m_unreadableEntries; }

private:
    void recordReadSent(Duration wait);
    void readNewest();
    void readNext();
    void continueReading();
    void scheduleRead(Duration delay);
    Duration nextWait() const;
    void enterStandby();
    void setAnswered(bool isAnswered);
    double drawJitter();
    void onReadEnded(const Result<KeyedPage, PlatformError>& page);
    void onReadFailed(const PlatformError& error);
    void updateConfirmedAt(const KeyedPage& page, Instant now);
    void countUnreadable(const KeyedPage& page);
    void setConnected(bool isConnected, const std::string& cause);

    event_base* m_base;
    RecordStore* m_store;
    Options m_options;
    Handler m_handler;
    Random* m_random;
    StorePosition m_nextPosition; ///< to read on from
    std::uint64_t m_callCount = 0;
    std::uint64_t m_failureCount = 0;
    std::uint64_t m_unreadableEntries = 0;
    bool m_isCaughtUp = false;
    bool m_isConnected = false;
    bool m_isLastReadAnswered = false; ///< the last read, since the last rest
    bool m_hasLoggedLoss = false;
    bool m_isOnStandby = false;
    bool m_isPausing = false; ///< between an answer and the next read
    bool m_isReading = false;
    Instant m_readSentAt {}; ///< when the last read was
    Duration m_readWait {}; ///< that it asked for
    std::optional<Instant> m_confirmedAt;
    std::optional<Instant> m_failedAt;
    Duration m_retryDelay {}; ///< the last pause after a failure; zero after a success
    Timer m_readTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace robinrun
