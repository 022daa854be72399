#include "Mesh/BackendFinder.h"

namespace robinrun {
namespace {

    /// A health answer costs the server little, but not nothing; announcements come every second or two.
    constexpr Duration askAgain = 400ms;

    HttpPool::Options poolOptions(const std::string& address)
    {
        HttpPool::Options options;
        options.address = address;
        options.maxConnections = 1;
        options.connectTimeout = 300ms;
        return options;
    }

} // namespace

BackendFinder::BackendFinder(event_base* base, const std::string& address, Found found)
    : m_base(base)
    , m_address(address)
    , m_found(std::move(found))
    , m_prober({ 0, 0, 1 }, {})
    , m_pool(base, poolOptions(address))
{
}

void BackendFinder::start(const std::string& healthPath, const CallHeaders& names)
{
    m_prober.setPath(healthPath, names);
    m_isRunning = true;
    ask();
}

void BackendFinder::stop()
{
    m_isRunning = false;
    m_again = Timer();
}

void BackendFinder::ask()
{
    m_prober.probe(m_pool, monotonicNow(), [this](const ProbeNews& news, Duration) { heard(news); });
}

void BackendFinder::heard(const ProbeNews& news)
{
    if (!m_isRunning)
        return;
    if (news.upstream.empty()) {
        m_again = Timer::once(m_base, askAgain, [this] { ask(); });
        return;
    }
    stop();
    Announcement out;
    out.life = BackendLife(news.upstream); // its health answer names no start
    out.address = m_address;
    out.slots = news.slots;
    out.coldFor = news.coldFor;
    out.state = news.isWell ? AnnouncedState::Ready : AnnouncedState::Draining;
    m_found(out);
}

} // namespace robinrun
