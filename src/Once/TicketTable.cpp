#include "Once/TicketTable.h"

#include "Core/Check.h"

namespace robinrun {
namespace {

    /// Bytes of a record beside its body: map nodes, headers, the ticket's place among its epoch.
    constexpr std::size_t recordOverhead = 300;

    std::size_t sizeOf(const RecordedAnswer& answer)
    {
        std::size_t n = answer.body.size();
        for (const auto& [name, value] : answer.headers)
            n += name.size() + value.size();
        return n;
    }

    TicketTable::Begin refuse(Reason reason, bool isNotRun)
    {
        TicketTable::Begin begin;
        begin.reason = reason;
        begin.isNotRun = isNotRun;
        return begin;
    }

} // namespace

TicketTable::TicketTable(std::string upstream, std::uint64_t incarnation, Options options, Instant start)
    : m_upstream(std::move(upstream))
    , m_incarnation(incarnation)
    , m_options(options)
    , m_start(start)
{
    require(options.epochLength > Duration::zero(), "TicketTable: epochs have a length");
}

std::uint64_t TicketTable::epochAt(Instant now) const
{
    return static_cast<std::uint64_t>((now - m_start) / m_options.epochLength);
}

Ticket TicketTable::mint(Random& random, Instant now) const
{
    return { m_upstream, m_incarnation, epochAt(now), { random.bits(), random.bits() } };
}

TicketTable::Begin TicketTable::begin(
    const Ticket& ticket, Hash128 fingerprint, std::uint64_t id, Instant now)
{
    const auto epoch = epochAt(now);
    if (epoch > m_options.keptEpochs)
        forgetBefore(epoch - m_options.keptEpochs);
    // A ticket of another incarnation may have been run there: nobody can tell any more.
    if (ticket.upstream != m_upstream || ticket.incarnation != m_incarnation)
        return refuse(Reason::TicketUnknown, false);
    if (ticket.epoch + m_options.keptEpochs < epoch || ticket.epoch > epoch)
        return refuse(Reason::TicketUnknown, false);

    const auto it = m_entries.find(ticket.nonce);
    if (it == m_entries.end()) {
        if (m_bytes + recordOverhead > m_options.maxBytes)
            return refuse(Reason::TooManyTickets, true);
        m_entries.emplace(ticket.nonce, Entry { fingerprint, ticket.epoch, id, nullptr });
        m_byEpoch.emplace(ticket.epoch, ticket.nonce);
        m_bytes += recordOverhead;
        Begin run;
        run.step = TicketStep::Run;
        return run;
    }
    if (it->second.fingerprint != fingerprint)
        return refuse(Reason::TicketMismatch, true);
    Begin known;
    known.step = it->second.record ? TicketStep::Replay : TicketStep::Join;
    known.record = it->second.record;
    known.firstId = it->second.firstId;
    return known;
}

void TicketTable::ended(Hash128 nonce, RecordedAnswer answer)
{
    const auto it = m_entries.find(nonce);
    // The call may outlive its ticket's epoch; then no repeat is let in any more.
    if (it == m_entries.end())
        return;
    m_bytes += sizeOf(answer);
    it->second.record = std::make_shared<const RecordedAnswer>(std::move(answer));
}

void TicketTable::notRun(Hash128 nonce)
{
    const auto it = m_entries.find(nonce);
    require(it == m_entries.end() || !it->second.record, "TicketTable::notRun: the call has not ended");
    if (it == m_entries.end())
        return;
    m_byEpoch.erase({ it->second.epoch, nonce });
    erase(nonce);
}

void TicketTable::erase(Hash128 nonce)
{
    const auto it = m_entries.find(nonce);
    m_bytes -= recordOverhead + (it->second.record ? sizeOf(*it->second.record) : 0);
    m_entries.erase(it);
}

void TicketTable::forgetBefore(std::uint64_t epoch)
{
    while (!m_byEpoch.empty() && m_byEpoch.begin()->first < epoch) {
        erase(m_byEpoch.begin()->second);
        m_byEpoch.erase(m_byEpoch.begin());
    }
}

} // namespace robinrun
