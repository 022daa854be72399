#pragma once

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <cstdint>
#include <string>

namespace robinrun::internal {

/// \brief Writes log lines to a descriptor and never waits for who reads them.
///
/// Lines gather in a buffer that is written when it is large enough or when flush() is called. When the
/// reader has stopped, lines that don't fit in the buffer any more are dropped and counted.
class BoundedSink : public boost::log::sinks::basic_formatted_sink_backend<char> {
public:
    /// \param isBuffered false: each line is written at once, as a tool does that has no loop.
    BoundedSink(int fd, bool isBuffered);
    ~BoundedSink();
    BoundedSink(const BoundedSink&) = delete;
    BoundedSink& operator=(const BoundedSink&) = delete;

    /// \brief Takes a line from Boost.Log.
    void consume(const boost::log::record_view& record, const std::string& line);

    /// \brief Writes what the reader takes now.
    void flush();

    /// \returns lines that found the buffer full.
    std::uint64_t dropped() const { return m_dropped; }

private:
    int m_fd;
    bool m_isBuffered;
    std::string m_buf;
    std::uint64_t m_dropped = 0;
};

} // namespace robinrun::internal
