#include "Core/internal/BoundedSink.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace robinrun::internal {
namespace {

    /// What a pipe takes without waiting once it says that it is writable (PIPE_BUF on Linux).
    constexpr std::size_t chunk = 4096;
    /// About a second of lines at the usual bound.
    constexpr std::size_t maxBuffered = 256U << 10U;

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
        const auto n = write(m_fd, m_buf.data() + written, std::min(chunk, m_buf.size() - written));
        if (n <= 0)
            break;
        written += static_cast<std::size_t>(n);
    }
    m_buf.erase(0, written);
}

} // namespace robinrun::internal
