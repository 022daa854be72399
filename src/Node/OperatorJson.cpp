#include "Node/OperatorJson.h"

#include "Core/Log.h"

#include <sstream>

namespace robinrun {
namespace {

    constexpr std::size_t recentChanges = 20;

    void writeNode(std::ostream& out, const NodeContext& context, ControlPlane& control,
        const NodeFacts& facts, Instant now)
    {
        const auto& follower = control.follower();
        const bool isProven = follower.logState() == LogFollowState::Followed
            && follower.knownLogEnd() <= follower.nextOffset();
        out << "{\"node\":\"" << context.settings.name << "\",\"incarnation\":\"" << context.incarnation
            << "\",\"state\":\"" << nameOf(facts.state) << "\",\"upstream\":\"" << context.settings.upstream
            << "\",\"upstream_state\":\"" << facts.upstreamState << "\",\"slots\":" << facts.load.slotLimit
            << ",\"in_use\":" << facts.load.slotsInUse << ",\"waiting\":" << facts.load.waitingCalls
            << ",\"applied\":" << follower.nextOffset() << ",\"log\":\"" << nameOf(follower.logState())
            << "\",\"log_id\":\"" << escapeJson(follower.logId())
            << "\",\"known_end\":" << follower.knownLogEnd()
            << ",\"proven_newest\":" << (isProven ? "true" : "false")
            << ",\"reader\":" << (control.isReader(now) ? "true" : "false") << ",\"digest\":\""
            << follower.state().digest() << "\",\n";
    }

    /// \returns how many nodes apply changes up to \a version.
    std::uint32_t nodesWith(const proto::InForce& total, std::uint64_t version)
    {
        std::uint32_t nodes = 0;
        for (const auto& it : total.counts())
            nodes += it.next_offset() >= version ? it.nodes() : 0;
        return nodes;
    }

    void writeChanges(std::ostream& out, const ConfigState& state, const proto::InForce& total)
    {
        const auto& fates = state.fates();
        const char* separator = "";
        for (auto i = fates.size() - std::min(fates.size(), recentChanges); i < fates.size(); ++i) {
            if (!fates[i].accepted())
                continue;
            out << separator << "\n {\"id\":\"" << escapeJson(fates[i].id())
                << "\",\"version\":" << fates[i].version()
                << ",\"in_force\":" << nodesWith(total, fates[i].version()) << ",\"of\":" << total.nodes()
                << "}";
            separator = ",";
        }
    }

    void writeBehind(std::ostream& out, const proto::InForce& total)
    {
        const char* separator = "";
        for (const auto& it : total.laggards()) {
            out << separator << "\n {\"node\":\"" << escapeJson(it.node())
                << "\",\"applied\":" << it.next_offset() << ",\"since_ms\":" << it.since_ms() << "}";
            separator = ",";
        }
    }

} // namespace

std::string statusJson(const NodeContext& context, ControlPlane& control, const NodeFacts& facts,
    const proto::InForce& total, Instant now)
{
    std::ostringstream out;
    writeNode(out, context, control, facts, now);
    out << "\"nodes\":" << total.nodes() << ",\"hosts_listed\":" << control.members().size()
        << ",\"min_applied\":" << total.min_next_offset() << ",\"max_applied\":" << total.max_next_offset()
        << ",\n\"changes\":[";
    writeChanges(out, control.follower().state(), total);
    out << "],\n\"behind\":[";
    writeBehind(out, total);
    out << "]}\n";
    return out.str();
}

std::string changesJson(const proto::Records& records, const ConfigState& state)
{
    std::ostringstream out;
    const char* separator = "";
    for (const auto& it : records.records()) {
        proto::ChangeRecord change;
        if (!change.ParseFromString(it.payload()) || change.has_snapshot())
            continue;
        const auto fate = state.fateOf(change.id());
        const bool isAccepted = fate && fate->accepted() && fate->version() == it.offset() + 1;
        out << separator << "{\"offset\":" << it.offset() << ",\"name\":\"" << targetName(change)
            << "\",\"who\":\"" << escapeJson(change.who())
            << "\",\"accepted\":" << (isAccepted ? "true" : "false")
            << ",\"removed\":" << (change.has_put() ? "false" : "true") << "}";
        separator = ",\n";
    }
    return out.str();
}

} // namespace robinrun
