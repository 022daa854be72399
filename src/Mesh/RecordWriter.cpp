#include "Mesh/RecordWriter.h"

#include "Core/Log.h"

#include <algorithm>

namespace robinrun {
namespace {

    /// Entries have to be back about two seconds after the store is; so no pause is longer than half of that.
    constexpr Duration longestPause = 1s;
    constexpr Duration firstPause = 200ms;

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

void RecordWriter::set(std::string value)
{
    m_value = std::move(value);
    m_hasValue = true;
    m_isWanted = true;
    if (!m_isOut && m_pause == Duration::zero())
        write();
}

void RecordWriter::writeAgain(Duration spread)
{
    if (!m_hasValue)
        return;
    m_isWanted = true;
    if (m_isOut || m_pause > Duration::zero())
        return; // it is written once that call has ended
    m_again = Timer::once(m_base, std::max(spread, Duration(1)), [this] { write(); });
}

void RecordWriter::write()
{
    if (m_isOut || !m_isWanted)
        return;
    m_isOut = true;
    m_isWanted = false;
    ++m_calls;
    m_store->write(m_topic, m_key, m_value, [this, isAlive = m_isAlive](Result<void, PlatformError> result) {
        if (!*isAlive)
            return;
        m_isOut = false;
        if (result) {
            m_pause = {};
            if (m_written)
                m_written();
            return write();
        }
        ++m_failures;
        log(LogLevel::Warning, "record-not-written",
            { { "topic", m_topic }, { "key", m_key }, { "error", nameOf(result.error().kind) },
                { "message", result.error().message } });
        m_isWanted = true;
        m_pause = m_pause > Duration::zero() ? std::min(2 * m_pause, longestPause) : firstPause;
        m_again = Timer::once(m_base, m_pause, [this] { write(); });
    });
}

} // namespace robinrun
