#include "Node/Owner.h"

/// \file What an owner does for a roll-out of its service: it withholds its server from calls that the
/// roll-out does not send there, and tells how each run has ended.

namespace robinrun {

bool Owner::isVersionWithheld(const proto::Call& call, Instant now) const
{
    const auto* rollout = m_context->rollouts.findRestricting(m_serviceId, now);
    if (!rollout)
        return false;
    if (!rollout->isTarget(m_context->backendVersion))
        return rollout->phase == RolloutPhase::Switching || rollout->phase == RolloutPhase::Completed;
    if (rollout->phase == RolloutPhase::RolledBack)
        return true;
    return rollout->phase != RolloutPhase::Completed && call.rollout() != rollout->order.id();
}

void Owner::reportRunEnd(const CallRecord& record, bool isAnswered, bool isFailure, Instant now) const
{
    if (m_runEnded && record.pool == m_pool.get())
        m_runEnded(
            { record.call.call_class(), now - record.started, isAnswered, isFailure, record.startedCold });
}

} // namespace robinrun
