#include "Mesh/PendingAcknowledgements.h"

#include "Http/HttpStatus.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace robinrun {

void PendingAcknowledgements::add(std::unique_ptr<HttpExchange> exchange, Instant now)
{
    m_pending.push_back({ std::move(exchange), now + maxDelay });
}

void PendingAcknowledgements::sendAll()
{
    for (auto& it : std::exchange(m_pending, {}))
        acknowledge(*it.exchange);
}

std::size_t PendingAcknowledgements::sendOverdue(Instant now)
{
    // An answer can bring the next announcement of its connection, which is added meanwhile.
    std::vector<Pending> due;
    const auto firstLater
        = std::find_if(m_pending.begin(), m_pending.end(), [now](const auto& it) { return now < it.due; });
    std::move(m_pending.begin(), firstLater, std::back_inserter(due));
    m_pending.erase(m_pending.begin(), firstLater);
    for (auto& it : due)
        acknowledge(*it.exchange);
    return due.size();
}

void acknowledge(HttpExchange& exchange)
{
    exchange.reply({ httpStatus::ok, { { "Content-Type", "application/json" } }, "{}" });
}

} // namespace robinrun
