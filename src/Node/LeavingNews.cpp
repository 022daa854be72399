#include "Node/LeavingNews.h"

#include <iterator>
#include <utility>

namespace robinrun {
namespace {

    constexpr Duration betweenTries = 5ms;

} // namespace

LeavingNews::LeavingNews(event_base* base, PeerLinks links)
    : m_base(base)
    , m_links(std::move(links))
{
}

void LeavingNews::tell(const PeerSocket::Sender& to, const proto::PeerMessage& message, Instant now)
{
    News news { to, message, now + patience };
    m_pending.erase(to.address);
    if (isDone(news, now))
        return;
    m_pending.emplace(to.address, std::move(news));
    tellAgainSoon();
}

bool LeavingNews::isDone(News& news, Instant now) const
{
    if (!news.to.route.empty() && m_links.answer(news.to, news.message, now))
        return true;
    return m_links.send(news.to.address, news.message, now) != SendResult::Connecting || now > news.until;
}

void LeavingNews::tellAgain(Instant now)
{
    for (auto it = m_pending.begin(); it != m_pending.end();)
        it = isDone(it->second, now) ? m_pending.erase(it) : std::next(it);
    if (!m_pending.empty())
        tellAgainSoon();
}

void LeavingNews::tellAgainSoon()
{
    m_timer = Timer::once(m_base, betweenTries, [this] { tellAgain(monotonicNow()); });
}

} // namespace robinrun
