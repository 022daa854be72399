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
        std::function<Duration()> wait = nullptr;
        /// How long to pause between an answer and the next read; none by default.
        std::function<Duration()> pause = nullptr;
        /// Whether this node may leave the topic to others for now; asked before each read but the first.
        std::function<bool()> mayRest = nullptr;
        /// Told after isFollowing() has changed; by default nobody is.
        std::function<void()> changed = nullptr;
        Duration firstRetry = 100ms; ///< after a failure
        /// The longest time between two tries, so that a store which is back is noticed in time.
        std::function<Duration()> longestRetry = [] { return Duration(1s); };
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
    bool readWithin(Duration delay);

    /// \brief Ends a rest: reads at once, without waiting at the store.
    void wake();
    bool isResting() const { return m_isResting; }

    /// \returns whether this node reads the topic, and the store answered its last read. What was answered
    /// before a rest does not count.
    bool isFollowing() const { return m_isAnswered && !m_isResting; }

    /// \returns the last moment at which the store is known to have had nothing that this node has not read;
    /// nothing if no read was answered yet. A read that waited in vain tells so of the end of its wait, one
    /// that did not wait of when it was sent; one that brought news, of its arrival, less than the way of the
    /// network ago.
    std::optional<Instant> confirmed() const { return m_confirmed; }

    /// \returns when a read failed last; nothing if none has.
    std::optional<Instant> failedAt() const { return m_failedAt; }

    /// \returns how long the read that is out has been; zero if none is.
    Duration readingFor(Instant now) const { return m_isReading ? now - m_sent : Duration::zero(); }

    /// \returns whether everything that was there at the start, or at the end of the last rest, has been
    /// read.
    bool isCaughtUp() const { return m_isCaughtUp; }
    /// \returns whether the last call succeeded.
    bool isConnected() const { return m_isConnected; }
    /// \returns calls made to the store so far, failed ones too.
    std::uint64_t calls() const { return m_calls; }
    /// \returns how many of them failed.
    std::uint64_t failures() const { return m_failures; }
    /// \returns how many entries could not be read and were passed over.
    std::uint64_t unreadable() const { return m_unreadable; }

private:
    void noteSent(Duration wait);
    void readNewest();
    void readOn();
    void readAgain();
    void readLater(Duration delay);
    Duration nextWait() const;
    void rest();
    void setAnswered(bool isAnswered);
    double jitter();
    void handle(const Result<KeyedPage, PlatformError>& page);
    void failed(const PlatformError& error);
    void noteConfirmed(const KeyedPage& page, Instant now);
    void noteUnreadable(const KeyedPage& page);
    void setConnected(bool isConnected, const std::string& why);

    event_base* m_base;
    RecordStore* m_store;
    Options m_options;
    Handler m_handler;
    Random* m_random;
    StorePosition m_next; ///< to read on from
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
    std::uint64_t m_unreadable = 0;
    bool m_isCaughtUp = false;
    bool m_isConnected = false;
    bool m_isAnswered = false; ///< the last read, since the last rest
    bool m_hasToldLost = false;
    bool m_isResting = false;
    bool m_isPausing = false; ///< between an answer and the next read
    bool m_isReading = false;
    Instant m_sent {}; ///< when the last read was
    Duration m_wait {}; ///< that it asked for
    std::optional<Instant> m_confirmed;
    std::optional<Instant> m_failedAt;
    Duration m_retry {}; ///< the last pause after a failure; zero after a success
    Timer m_again;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace robinrun
