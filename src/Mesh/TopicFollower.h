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

/// \brief Follows one keyed topic of the store: reads the newest record of each key first, then new records.
///
/// Reads wait at the store (long polling), so that news arrives at once and a quiet topic costs one call per
/// wait. Between two reads the follower may pause, or stand by if other nodes read the topic. Failed calls
/// are retried after a delay that doubles, with jitter. After a failure or a standby the state of the store
/// is unknown, so the next read does not wait: it is answered at once or fails.
/// Cost: one call at a time.
class TopicFollower {
public:
    struct Options {
        std::string topic;
        /// Returns the wait of the next read; called for each read. Without it no read waits.
        std::function<Duration()> drawWait = nullptr;
        /// Returns the pause between an answer and the next read. There is no pause without it.
        std::function<Duration()> drawPause = nullptr;
        /// Returns whether this node may leave the topic to other nodes for now; called before each read but
        /// the first.
        std::function<bool()> mayStandBy = nullptr;
        /// Returns whether the read that is due after a pause is not needed; then another pause begins.
        std::function<bool()> maySkipRead = nullptr;
        /// Called after isFollowing() has changed.
        std::function<void()> onFollowingChanged = nullptr;
        Duration initialRetryDelay = 100ms; ///< after the first failure
        /// Returns the maximum time between two retries, which limits how late the recovery of the store is
        /// detected.
        std::function<Duration()> maxRetryDelay = [] { return Duration(1s); };
    };
    using Handler = std::function<void(const KeyedPage&)>;

    /// \param handler receives the records of each answer together, in the order in which they were written.
    /// \param random source of the jitter.
    /// The store and \a random must outlive the follower.
    TopicFollower(event_base* base, RecordStore& store, Options options, Handler handler, Random& random);
    ~TopicFollower();
    TopicFollower(const TopicFollower&) = delete;
    TopicFollower& operator=(const TopicFollower&) = delete;

    /// \brief Starts to read. Must be called once.
    void start() { readNewest(); }

    /// \brief Starts without a read, as if other nodes read the topic. Must be called once, in place of
    /// start().
    void startOnStandby() { enterStandby(); }

    /// \brief Ends the current pause after \a delay.
    /// \returns whether there was a pause.
    bool endPauseAfter(Duration delay);

    /// \brief Ends the standby: reads at once, without waiting at the store.
    void resume();
    bool isOnStandby() const { return m_isOnStandby; }

    /// \returns whether this node reads the topic and the store answered its last read. Answers from before a
    /// standby do not count.
    bool isFollowing() const { return m_isLastReadAnswered && !m_isOnStandby; }

    /// \returns the last time at which the store is known to have had no records that this node has not read;
    /// nothing if no read was answered yet. For a read that waited without news, this is the end of its wait.
    /// For a read that did not wait, it is the time at which the read was sent. For a read that returned
    /// news, it is the time of arrival, which is at most one network delay too late.
    std::optional<Instant> confirmedAt() const { return m_confirmedAt; }

    /// \returns when the last failed read ended; nothing if none has failed.
    std::optional<Instant> failedAt() const { return m_failedAt; }

    /// \returns how long the current read has been in progress; zero if there is none.
    Duration currentReadDuration(Instant now) const
    {
        return m_isReading ? now - m_readSentAt : Duration::zero();
    }

    /// \returns whether everything that the store held at the start, or at the end of the last standby, has
    /// been read.
    bool isCaughtUp() const { return m_isCaughtUp; }
    /// \returns whether the last call succeeded.
    bool isConnected() const { return m_isConnected; }
    /// \returns the number of calls to the store so far, including failed ones.
    std::uint64_t calls() const { return m_callCount; }
    /// \returns the number of failed calls.
    std::uint64_t failures() const { return m_failureCount; }
    /// \returns the number of entries that could not be read and were skipped.
    std::uint64_t unreadableEntries() const { return m_unreadableEntries; }

private:
    void recordReadSent(Duration wait);
    void readNewest();
    void readNext();
    void continueReading();
    void scheduleRead(Duration delay);
    Duration nextWait() const;
    void pause();
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
    StorePosition m_nextPosition; ///< position from which the next read continues
    std::uint64_t m_callCount = 0;
    std::uint64_t m_failureCount = 0;
    std::uint64_t m_unreadableEntries = 0;
    bool m_isCaughtUp = false;
    bool m_isConnected = false;
    bool m_isLastReadAnswered = false; ///< false after a standby until the next answer
    bool m_hasLoggedLoss = false;
    bool m_isOnStandby = false;
    bool m_isPausing = false; ///< between an answer and the next read
    bool m_isReading = false;
    Instant m_readSentAt {}; ///< when the last read was sent
    Duration m_readWait {}; ///< wait that the last read requested
    std::optional<Instant> m_confirmedAt;
    std::optional<Instant> m_failedAt;
    Duration m_retryDelay {}; ///< delay before the last retry; zero after a success
    Timer m_readTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace robinrun
