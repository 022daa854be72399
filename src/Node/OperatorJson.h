#pragma once

#include "Chart/Charts.h"
#include "Config/ConfigState.h"
#include "Node/ControlPlane.h"
#include "Node/NodeContext.h"
#include "Queueing/Admission.h"
#include "peer.pb.h"

#include <string>

namespace robinrun {

/// \brief What the operator port shows of this node beside the configuration.
struct NodeFacts {
    NodeState state {};
    std::string upstreamState;
    LoadReport load;
    std::size_t callsInProgress = 0;
};

/// \returns the body of `GET /v1/status`. \param total counts over all nodes, as far as the counting tree
/// knows.
std::string statusJson(const NodeContext& context, ControlPlane& control, const NodeFacts& facts,
    const proto::InForce& total, Instant now);

/// \returns changes as the items of a JSON list, for a watch. \param state has applied them.
std::string changesJson(const proto::Records& records, const ConfigState& state);

} // namespace robinrun
