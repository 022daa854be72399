#include "Mesh/BackendDiscovery.h"

namespace robinrun {
namespace {

    /// A health answer has a small cost for the server, and announcements arrive every 1 to 2 s anyway.
    constexpr Duration retryInterval = 400ms;

    HttpPool::Options poolOptions(const std::string& address)
    {
        HttpPool::Options options;
        options.address = address;
        options.maxConnections = 1;
        options.connectTimeout = 300ms;
        return options;
    }

} // namespace

BackendDiscovery::BackendDiscovery(event_base* base, const std::string& address, FoundHandler onFound)
    : m_base(base)
    , m_address(address)
    , m_onFound(std::move(onFound))
    , m_prober({ 0, 0, 1 }, {})
    , m_pool(base, poolOptions(address))
{
}

void BackendDiscovery::start(const std::string& healthPath, const CallHeaders& headers)
{
    m_prober.setPath(healthPath, headers);
    m_isRunning = true;
    sendProbe();
}

void BackendDiscovery::stop()
{
    m_isRunning = false;
    m_retryTimer = Timer();
}

void BackendDiscovery::askAgain()
{
    m_isRunning = true;
    m_retryTimer = Timer::once(m_base, retryInterval, [this] { sendProbe(); });
}

void BackendDiscovery::sendProbe()
{
    m_prober.probe(m_pool, monotonicNow(), [this](const ProbeNews& answer, Duration) { onProbed(answer); });
}

void BackendDiscovery::onProbed(const ProbeNews& answer)
{
    if (!m_isRunning)
        return;
    if (answer.upstream.empty())
        return askAgain();
    stop();
    Announcement announcement;
    announcement.life = BackendLife(answer.upstream); // the health answer holds no start time
    announcement.address = m_address;
    announcement.slots = answer.slots;
    announcement.remainingColdTime = answer.coldFor;
    announcement.rateLimit = answer.statement.rateLimit;
    announcement.saysLeaving = answer.statement.isLeaving;
    announcement.state = answer.isWell ? AnnouncedState::Ready : AnnouncedState::Draining;
    m_onFound(announcement);
}

} // namespace robinrun
