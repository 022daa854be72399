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

/// \brief Keeps one key of a topic at the value it was last given, with as few writes as that takes.
///
/// One write is out at a time; a value that has been replaced meanwhile is not written. A failed write, and
/// one of unknown outcome, is made again after a pause: writing the same value twice does no harm. A write
/// that takes effect late may put back an older value, so readers go by the record's own age.
class RecordWriter {
public:
    RecordWriter(event_base* base, RecordStore& store, std::string topic, std::string key);
    ~RecordWriter();
    RecordWriter(const RecordWriter&) = delete;
    RecordWriter& operator=(const RecordWriter&) = delete;

    /// \brief Sets the value; empty takes the key away.
    void setValue(std::string value);

    /// \brief The store may have lost what was written: writes the value once more, within \a delay.
    void rewriteAfter(Duration delay);

    /// \returns whether the last value that was set is in the store.
    bool isWritten() const { return !m_isWritePending && !m_isWriting; }
    /// \returns writes made so far, failed ones too.
    std::uint64_t calls() const { return m_callCount; }
    /// \returns how many of them failed.
    std::uint64_t failures() const { return m_failureCount; }
    /// \brief Runs \a f each time that a write has succeeded.
    void onWritten(std::function<void()> f) { m_onWritten = std::move(f); }

private:
    void write();

    event_base* m_base;
    RecordStore* m_store;
    std::string m_topic;
    std::string m_key;
    std::string m_value;
    bool m_hasValue = false; ///< one was set
    bool m_isWritePending = false;
    bool m_isWriting = false;
    Duration m_retryDelay {}; ///< the last one after a failure; zero after a success
    std::uint64_t m_callCount = 0;
    std::uint64_t m_failureCount = 0;
    std::function<void()> m_onWritten;
    Timer m_timer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace robinrun
