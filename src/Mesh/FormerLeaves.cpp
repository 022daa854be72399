#include "Mesh/FormerLeaves.h"

#include "Core/Log.h"

namespace robinrun {

void FormerLeaves::onStoreRead(bool isFirstTry)
{
    if (!isFirstTry || m_knowledge != LeaveKnowledge::None)
        return;
    m_knowledge = LeaveKnowledge::Store;
    log(LogLevel::Info, "former-leaves-known", { { "source", nameOf(m_knowledge) } });
}

void FormerLeaves::onContact(const std::string& peer, Instant knownSince)
{
    if (m_knowledge != LeaveKnowledge::Peers && knownSince + startSpread <= m_started)
        m_contacts[peer] = knownSince;
}

void FormerLeaves::onRecordsCompared(const std::string& peer)
{
    const auto it = m_contacts.find(peer);
    if (it == m_contacts.end())
        return;
    m_knownSince = it->second;
    m_knowledge = LeaveKnowledge::Peers;
    m_contacts.clear();
    log(LogLevel::Info, "former-leaves-known", { { "source", nameOf(m_knowledge) } });
}

} // namespace robinrun
