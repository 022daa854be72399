#include "Mesh/RecordWriter.h"

#include "Core/Log.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// Records must be back about 2 s after the store has recovered, so the retry delay is at most half of
    /// that.
    constexpr Duration maxRetryDelay = 1s;
    constexpr Duration initialRetryDelay = 200ms;

} // namespace

RecordWriter::RecordWriter(event_base* base, RecordStore& store, std::string topic, std::string key)
    : m_base(base)
    , m_store(&store)
    , m_topic(std::move(topic))
    , m_key(std::move(key))
{
}

RecordWriter::~RecordWriter()
{
    *m_isAlive = false;
}

void RecordWriter::setValue(std::string value)
{
    m_value = std::move(value);
    m_hasValue = true;
    m_isWritePending = true;
    if (!m_isWriting && m_retryDelay == Duration::zero())
        write();
}

void RecordWriter::rewriteAfter(Duration delay)
{
    if (!m_hasValue)
        return;
    m_isWritePending = true;
    if (m_isWriting || m_retryDelay > Duration::zero())
        return; // the value is written when that call has ended
    m_timer = Timer::once(m_base, std::max(delay, Duration(1)), [this] { write(); });
}

void RecordWriter::write()
{
    if (m_isWriting || !m_isWritePending)
        return;
    m_isWriting = true;
    m_isWritePending = false;
    ++m_callCount;
    m_store->write(m_topic, m_key, m_value, [this, isAlive = m_isAlive](Result<void, PlatformError> result) {
        if (!*isAlive)
            return;
        m_isWriting = false;
        if (result) {
            m_retryDelay = {};
            if (m_onWritten)
                m_onWritten();
            return write();
        }
        ++m_failureCount;
        log(LogLevel::Warning, "record-not-written",
            { { "topic", m_topic }, { "key", m_key }, { "error", nameOf(result.error().kind) },
                { "message", result.error().message } });
        m_isWritePending = true;
        m_retryDelay
            = m_retryDelay > Duration::zero() ? std::min(2 * m_retryDelay, maxRetryDelay) : initialRetryDelay;
        m_timer = Timer::once(m_base, m_retryDelay, [this] { write(); });
    });
}

} // namespace robinrun
