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
    void set(std::string value);

    /// \brief The store may have lost what was written: writes the value once more, within \a spread.
    void writeAgain(Duration spread);

    /// \returns whether the last value that was set is in the store.
    bool isWritten() const { return !m_isWanted && !m_isOut; }
    /// \returns writes made so far, failed ones too.
    std::uint64_t calls() const { return m_calls; }
    /// \returns how many of them failed.
    std::uint64_t failures() const { return m_failures; }
    /// \brief Runs \a f each time that a write has succeeded.
    void onWritten(std::function<void()> f) { m_written = std::move(f); }

private:
    void write();

    event_base* m_base;
    RecordStore* m_store;
    std::string m_topic;
    std::string m_key;
    std::string m_value;
    bool m_hasValue = false; ///< one was set
    bool m_isWanted = false;
    bool m_isOut = false;
    Duration m_pause {}; ///< the last one after a failure; zero after a success
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
    std::function<void()> m_written;
    Timer m_again;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace robinrun
