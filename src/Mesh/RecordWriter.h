#pragma once

#include "Core/Time.h"
#include "Node/Timer.h"
#include "Platform/RecordStore.h"

#include <cstdint>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <string>

namespace robinrun {

/// \brief Keeps one key of a topic at the most recently set value, with as few writes as possible.
///
/// Only one write is in progress at a time, and a value that is replaced meanwhile is never written. A write
/// that failed or has an unknown outcome is retried after a delay: writing a value twice is harmless. A write
/// that takes effect late may restore an older value, so readers compare the age of the records themselves.
class RecordWriter {
public:
    RecordWriter(event_base* base, RecordStore& store, std::string topic, std::string key);
    ~RecordWriter();
    RecordWriter(const RecordWriter&) = delete;
    RecordWriter& operator=(const RecordWriter&) = delete;

    /// \brief Sets the value. An empty value deletes the key.
    void setValue(std::string value);

    /// \brief Writes the value once more after \a delay, because the store may have lost it.
    void rewriteAfter(Duration delay);

    /// \returns whether the most recently set value is in the store.
    bool isWritten() const { return !m_isWritePending && !m_isWriting; }
    /// \returns the number of writes so far, including failed ones.
    std::uint64_t calls() const { return m_callCount; }
    /// \returns the number of failed writes.
    std::uint64_t failures() const { return m_failureCount; }
    /// \brief Sets a function that is called after each successful write.
    void onWritten(std::function<void()> f) { m_onWritten = std::move(f); }

private:
    void write();

    event_base* m_base;
    RecordStore* m_store;
    std::string m_topic;
    std::string m_key;
    std::string m_value;
    bool m_hasValue = false; ///< a value has been set
    bool m_isWritePending = false;
    bool m_isWriting = false;
    Duration m_retryDelay {}; ///< delay before the last retry; zero after a success
    std::uint64_t m_callCount = 0;
    std::uint64_t m_failureCount = 0;
    std::function<void()> m_onWritten;
    Timer m_timer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace robinrun
