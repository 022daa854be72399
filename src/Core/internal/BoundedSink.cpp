#include "Core/internal/BoundedSink.h"

#include <algorithm>
#include <poll.h>
#include <string_view>
#include <unistd.h>

namespace robinrun::internal {
namespace {

    /// What a pipe takes without waiting once it says that it is writable (PIPE_BUF on Linux).
    constexpr std::size_t chunk = 4096;
    /// About a second of lines at the usual bound.
    constexpr std::size_t maxBuffered = 256U << 10U;

    /// \returns how much of \a text to write at once: whole lines, as many as a chunk holds, so that a reader
    /// of many processes does not get two lines in one.
    std::size_t wholeLines(std::string_view text)
    {
        if (text.size() <= chunk)
            return text.size();
        const auto end = text.rfind('\n', chunk - 1);
        return end == std::string_view::npos ? chunk : end + 1;
    }

    bool isWritable(int fd)
    {
        pollfd it { fd, POLLOUT, 0 };
        return poll(&it, 1, 0) == 1 && (it.revents & POLLOUT);
    }

} // namespace

BoundedSink::BoundedSink(int fd, bool isBuffered)
    : m_fd(fd)
    , m_isBuffered(isBuffered)
{
}

BoundedSink::~BoundedSink()
{
    flush();
}

void BoundedSink::consume(const boost::log::record_view&, const std::string& line)
{
    if (m_buf.size() + line.size() >= maxBuffered) {
        ++m_dropped;
        return;
    }
    m_buf += line;
    m_buf += '\n';
    if (!m_isBuffered || m_buf.size() >= chunk)
        flush();
}

void BoundedSink::flush()
{
    std::size_t written = 0;
    while (written < m_buf.size() && isWritable(m_fd)) {
        const auto n
            = write(m_fd, m_buf.data() + written, wholeLines(std::string_view(m_buf).substr(written)));
        if (n <= 0)
            break;
        written += static_cast<std::size_t>(n);
    }
    m_buf.erase(0, written);
}

} // namespace robinrun::internal
