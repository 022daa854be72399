#include "Core/LogEvents.h"

#include <algorithm>
#include <array>

namespace robinrun {
namespace {

    constexpr std::array events {
        // The process and what it depends on.
        LogEventInfo { "started", "incarnation", "the process serves from now on" },
        LogEventInfo { "mechanism-off", "mechanism", "switched off by `experiments` in the settings" },
        LogEventInfo { "start-failed", "error", "a socket could not be bound, or settings make no sense" },
        LogEventInfo { "stopped", "", "the process ends in order" },
        LogEventInfo { "stop-asked", "in_progress upstream_leaving", "SIGTERM or SIGINT came" },
        LogEventInfo { "calls-given-up", "in_progress",
            "a drain reached its limit; the callers got the node's own answers" },
        LogEventInfo { "runs-given-up", "upstream calls",
            "a drain reached its limit; the ingresses were told that the outcome is unknown" },
        LogEventInfo { "node-state", "state cause", "the node's life moved on" },
        LogEventInfo { "reloaded", "file", "the settings were read again" },
        LogEventInfo { "reload-refused", "field error", "the settings are bad; the old ones stay in force" },
        LogEventInfo { "store-reached", "topic why next read_ms", "the store answers (again)" },
        LogEventInfo { "store-lost", "topic why next read_ms", "a read of the store failed" },
        LogEventInfo { "store-era", "era before first",
            "the store is back from an older copy; all is read anew, and the own record written again" },
        LogEventInfo { "store-era-unreadable", "fault value era",
            "an answer's era makes no sense; the store is taken to be back from a copy" },
        LogEventInfo {
            "topic-forgotten", "topic from why", "records were no longer kept; the newest are read" },
        LogEventInfo { "record-not-written", "topic key error message", "a write failed; it is made again" },
        LogEventInfo { "peer-lost", "peer", "a link ended; what was out there gets no answer" },
        LogEventInfo { "peer-back", "peer", "a lost peer is heard again" },
        LogEventInfo { "peer-unreachable", "peer unreached_s",
            "a contact was not reached for a while; it is marked, and other nodes will lend what it lent" },
        LogEventInfo { "taken-for-unreachable", "sequence",
            "peers have marked this node as unreachable; it takes that back and begins anew as a lender" },
        LogEventInfo { "lenders-succeeded", "nodes unreachable",
            "number of unreachable nodes whose credits other nodes lend now" },
        LogEventInfo {
            "peer-forgotten", "peer unreached_s", "not reached for long; its record is taken away" },
        LogEventInfo { "peer-send-failed", "peer error", "a message could not be sent" },
        LogEventInfo { "peer-link-unwatched", "peer error", "the end of a link will not be noticed" },
        LogEventInfo { "peer-message-malformed", "bytes", "what came is no message" },
        LogEventInfo {
            "peer-message-too-long", "bytes", "a message to or from a peer beyond the bound: dropped" },
        LogEventInfo { "peer-message-unknown", "from kind", "a message of another version of robinrun" },
        LogEventInfo {
            "accept-failed", "error", "a caller could not be let in, as when descriptors run out" },
        LogEventInfo { "connections-full", "address connections accepted",
            "a port has as many connections as it may; accepted: another one was closed for the new one" },
        LogEventInfo { "request-unread", "status peer why", "a request was refused before it was whole" },
        LogEventInfo { "body-given-up", "from request reason bytes of",
            "an owner no longer awaits the body of a call, of which so many bytes had come" },
        LogEventInfo { "body-part-odd", "from number offset expected bytes",
            "a part of a body is not what was asked for: the call is refused" },
        LogEventInfo {
            "body-part-unknown", "from bytes", "an owner asks for bytes beyond the end of a body" },
        LogEventInfo { "body-part-unsent", "peer result",
            "a part of a body did not go out; its owner will give the call up" },
        LogEventInfo {
            "lines-dropped", "lines over_bound", "lines that were not written since the last such" },
        // What the node believes.
        LogEventInfo { "configuration-adopted", "version before source resources", "in force from now on" },
        LogEventInfo {
            "configuration-asked", "peer version offset", "a peer was asked for a copy, from this byte on" },
        LogEventInfo { "configuration-sent", "peer version base bytes sent",
            "the first part of a copy; base: holds what differs from it" },
        LogEventInfo { "configuration-copy-unreadable", "source error in_force", "it is asked for whole" },
        LogEventInfo { "configuration-entry-refused", "version place error",
            "an entry can't be read whole: its calls are refused, the others are served" },
        LogEventInfo { "configuration-refused", "source error in_force", "can't be read; the old one stays" },
        LogEventInfo {
            "upstream-announced", "upstream state slots sequence", "of the backend server beside" },
        LogEventInfo { "leave-acknowledged-unwritten", "upstream acknowledgements",
            "the store did not take the record of a leave in time: a kill of all nodes may lose it" },
        LogEventInfo { "former-leaves-known", "source",
            "the node knows which leaves were acknowledged before it started" },
        LogEventInfo { "upstream-ready-unproven", "upstream sequence leaves_known_from",
            "an announcement from before the node started, as far as it can tell: not believed yet" },
        LogEventInfo { "foreign-entry", "kind entry fault",
            "an announcement or a record that no part of this deployment can have written; passed over" },
        LogEventInfo { "store-entries-unreadable", "topic entries next", "passed over; the others hold" },
        LogEventInfo { "stood-still", "for_ms in_progress",
            "this process did nothing for so long, as when its host is frozen; what waited is judged by the "
            "time since" },
        LogEventInfo {
            "host-suspended", "for_ms", "timers stood still for so long, and are brought forward" },
        LogEventInfo { "clock-went-back", "former_incarnation incarnation",
            "a former life of this node says that it started later; this one counts as later still" },
        LogEventInfo { "upstream-sign", "upstream sign set", "a reason to leave came or went" },
        LogEventInfo { "upstream-life", "upstream state", "the own upstream's life moved on" },
        LogEventInfo { "rollout-phase", "service target_version order_offset phase cause",
            "a roll-out has come to this phase, as far as this node knows" },
        LogEventInfo { "rollout-decision", "service phase cause target_calls age_ms",
            "this node has judged a roll-out; target_calls: runs of the target version that it knows of" },
        LogEventInfo { "rollout-status-not-written", "service error message",
            "the status of a roll-out could not be read or written; that is tried again" },
        LogEventInfo {
            "hall-emptied", "hall era offset", "nothing more is sent to the backend servers there" },
        LogEventInfo { "hall-taken-back", "hall era offset", "its backend servers get calls again" },
        LogEventInfo { "backend-cold", "upstream cold_for_ms in_doubt calls_per_s in_use",
            "it gets calls at this pace; in_doubt: until it says whether it is cold" },
        LogEventInfo { "backend-warm", "upstream cold_for_ms in_doubt calls_per_s in_use",
            "it gets as many calls as it has slots" },
        LogEventInfo { "backend-down", "upstream unreached", "connections can't be made" },
        LogEventInfo { "backend-up", "upstream unreached", "it answers again" },
        LogEventInfo { "backend-crashed", "upstream report suspects",
            "it has ended under calls, without notice; suspects: the contents of these calls" },
        LogEventInfo { "request-held", "content shared reports retry_after_ms",
            "servers have crashed under this content, as the reports say: it is refused everywhere; shared: "
            "others that are held back ran at most of these crashes" },
        LogEventInfo { "request-freed", "content", "it has ended well, or its crashes are forgotten" },
        LogEventInfo { "limit-changed", "upstream limit before in_use",
            "so many calls may run at once on the backend server from now on" },
        LogEventInfo { "server-limit-named", "upstream limit_per_s before source request",
            "the backend server accepts so many requests a second; source: whose answer said so; before: -1 "
            "for none" },
        LogEventInfo { "server-limit-lifted", "upstream limit_per_s before source request",
            "the backend server names no limit any more; limit_per_s is -1" },
        LogEventInfo { "server-leaving", "upstream source request",
            "the backend server says in an answer that it will stop" },
        LogEventInfo { "header-unreadable", "upstream field value fault request",
            "a field of the backend server's answer; passed over" },
        LogEventInfo { "applied", "offset", "records of the log are in force" },
        LogEventInfo { "log-standing", "standing", "the log answers, or doesn't" },
        LogEventInfo { "peer-follows-other-log", "peer", "a peer has records of another log" },
        LogEventInfo { "change-written", "id who resource", "an operator's change was written" },
        LogEventInfo { "answer-foreign", "from number", "an answer from a node that was not asked" },
        LogEventInfo { "call-doubled", "from number", "a call came twice; the first counts" },
        LogEventInfo { "call", "group service class outcome reason status total_us queued_us held_us",
            "a call ended (with log.access)" },
        // Decisions on one request, at its ingress.
        LogEventInfo { "request-rejected", "request status why", "no call was made of it" },
        LogEventInfo {
            "route-chosen", "request target version allowed_ms target_ms nested", "route and service" },
        LogEventInfo { "upstream-chosen",
            "request attempt upstream left_ms attempts_left candidates in_flight far news_age_ms told_in_use "
            "told_queued told_slowdown_percent",
            "where an attempt goes, and what was known of it" },
        LogEventInfo { "owner-refused",
            "request attempt upstream reason told_in_use told_queued retry_after_ms backend_asked",
            "the owner answered that the call was not run" },
        LogEventInfo {
            "attempt-late", "request attempt upstream after_ms attempts_left", "a second is tried" },
        LogEventInfo { "attempt-slowed",
            "request attempt upstream expected_ms work_done_ms target_left_ms attempts_left",
            "the upstream became slow and the answer would be late; a second is tried" },
        LogEventInfo { "attempt-lost", "request reason repeatable attempts_left others_out",
            "no whole answer came; it may have run" },
        LogEventInfo { "request-answered",
            "request reason retry_denied status total_ms late upstreams_tried left_ms broken_off",
            "a backend server's answer" },
        LogEventInfo { "request-refused",
            "request reason retry_denied status total_ms late upstreams_tried left_ms broken_off",
            "not run, and said so" },
        LogEventInfo { "request-unknown",
            "request reason retry_denied status total_ms late upstreams_tried left_ms broken_off",
            "may have run; broken_off: attempts given up with it" },
        LogEventInfo { "caller-gone",
            "request reason retry_denied status total_ms late upstreams_tried left_ms broken_off",
            "the caller hung up first" },
        // Decisions on one request, at the owner of an upstream.
        LogEventInfo { "queued",
            "request from attempt upstream in_use slots queued priority left_ms slowdown_percent news_age_ms",
            "an attempt came" },
        LogEventInfo {
            "sent-to-backend", "request from attempt upstream waited_ms left_ms", "it got a slot" },
        LogEventInfo { "backend-answered",
            "request from attempt upstream reason status queued_ms held_ms in_use queued retry_after_ms "
            "not_run",
            "a whole answer came" },
        LogEventInfo { "backend-failed",
            "request from attempt upstream reason status queued_ms held_ms in_use queued retry_after_ms "
            "not_run content",
            "no whole answer came, or it says not run; content: the same for the same request sent again" },
        LogEventInfo { "owner-gave-up",
            "request from attempt upstream reason status queued_ms held_ms in_use queued retry_after_ms "
            "not_run",
            "refused before it got a slot" },
        LogEventInfo { "cancel-taken",
            "request from attempt upstream reason status queued_ms held_ms in_use queued retry_after_ms "
            "not_run",
            "the ingress took it back" },
        LogEventInfo { "rate-refused",
            "request attempt upstream reason retry_after_ms waited_ms lenders_short lenders_silent what",
            "the caller's group has made as many calls as it may" },
        LogEventInfo { "upstream-cold", "request attempt upstream reason wait_ms cold_ms news_age_ms",
            "even the best upstream is cold and would start the call too late" },
        LogEventInfo { "upstream-limited",
            "request attempt upstream reason wait_ms limit_per_min news_age_ms",
            "even the best upstream would start the call too late, by the limit that its server names" },
    };

} // namespace

std::span<const LogEventInfo> logEvents()
{
    return events;
}

const LogEventInfo* findLogEvent(std::string_view name)
{
    const auto it
        = std::find_if(events.begin(), events.end(), [&](const auto& event) { return event.name == name; });
    return it == events.end() ? nullptr : &*it;
}

} // namespace robinrun
