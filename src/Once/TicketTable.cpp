#include "Once/TicketTable.h"

#include "Core/Check.h"

namespace robinrun {
namespace {

    /// Memory of a record beside the characters of its body and headers: container nodes and string objects.
    constexpr std::size_t recordOverheadBytes = 300;

    std::size_t sizeInBytes(const RecordedAnswer& answer)
    {
        std::size_t n = answer.body.size();
        for (const auto& [name, value] : answer.headers)
            n += name.size() + value.size();
        return n;
    }

    TicketTable::Decision makeRefusal(Reason reason, bool isNotRun)
    {
        TicketTable::Decision refusal;
        refusal.reason = reason;
        refusal.isNotRun = isNotRun;
        return refusal;
    }

} // namespace

TicketTable::TicketTable(std::string upstream, std::uint64_t incarnation, Options options, Instant startTime)
    : m_upstream(std::move(upstream))
    , m_incarnation(incarnation)
    , m_options(options)
    , m_startTime(startTime)
{
    require(options.epochLength > Duration::zero(), "TicketTable: epochLength must be above 0");
}

std::uint64_t TicketTable::epochAt(Instant now) const
{
    return static_cast<std::uint64_t>((now - m_startTime) / m_options.epochLength);
}

Ticket TicketTable::mint(Random& random, Instant now) const
{
    return { m_upstream, m_incarnation, epochAt(now), { random.bits(), random.bits() } };
}

TicketTable::Decision TicketTable::beginCall(
    const Ticket& ticket, Hash128 fingerprint, std::uint64_t callId, Instant now)
{
    const auto epoch = epochAt(now);
    if (epoch > m_options.retainedEpochs)
        evictEpochsBefore(epoch - m_options.retainedEpochs);
    // A ticket of another incarnation may have run there, and that incarnation's records are lost.
    if (ticket.upstream != m_upstream || ticket.incarnation != m_incarnation)
        return makeRefusal(Reason::TicketUnknown, false);
    if (ticket.epoch + m_options.retainedEpochs < epoch || ticket.epoch > epoch)
        return makeRefusal(Reason::TicketUnknown, false);

    const auto it = m_entries.find(ticket.nonce);
    if (it == m_entries.end()) {
        if (m_usedBytes + recordOverheadBytes > m_options.maxBytes)
            return makeRefusal(Reason::TooManyTickets, true);
        m_entries.emplace(ticket.nonce, Entry { fingerprint, ticket.epoch, callId, nullptr });
        m_noncesByEpoch.emplace(ticket.epoch, ticket.nonce);
        m_usedBytes += recordOverheadBytes;
        Decision firstUse;
        firstUse.action = TicketAction::Run;
        return firstUse;
    }
    if (it->second.fingerprint != fingerprint)
        return makeRefusal(Reason::TicketMismatch, true);
    Decision repeat;
    repeat.action = it->second.answer ? TicketAction::Replay : TicketAction::Join;
    repeat.answer = it->second.answer;
    repeat.firstCallId = it->second.firstCallId;
    return repeat;
}

void TicketTable::recordAnswer(Hash128 nonce, RecordedAnswer answer)
{
    const auto it = m_entries.find(nonce);
    // The call may have outlasted the retention of its ticket; repeats are then refused as unknown anyway.
    if (it == m_entries.end())
        return;
    m_usedBytes += sizeInBytes(answer);
    it->second.answer = std::make_shared<const RecordedAnswer>(std::move(answer));
}

void TicketTable::releaseTicket(Hash128 nonce)
{
    const auto it = m_entries.find(nonce);
    require(it == m_entries.end() || !it->second.answer,
        "TicketTable::releaseTicket: the call must not have a recorded answer");
    if (it == m_entries.end())
        return;
    m_noncesByEpoch.erase({ it->second.epoch, nonce });
    eraseEntry(nonce);
}

void TicketTable::eraseEntry(Hash128 nonce)
{
    const auto it = m_entries.find(nonce);
    m_usedBytes -= recordOverheadBytes + (it->second.answer ? sizeInBytes(*it->second.answer) : 0);
    m_entries.erase(it);
}

void TicketTable::evictEpochsBefore(std::uint64_t epoch)
{
    while (!m_noncesByEpoch.empty() && m_noncesByEpoch.begin()->first < epoch) {
        eraseEntry(m_noncesByEpoch.begin()->second);
        m_noncesByEpoch.erase(m_noncesByEpoch.begin());
    }
}

} // namespace robinrun
