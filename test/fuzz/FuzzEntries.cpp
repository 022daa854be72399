/// \file Fuzzes what other writers may put where backend servers, the operator, the store and nodes write:
/// announcements, configurations, records of nodes and messages between nodes.

#include "Mesh/AnnouncedUpstream.h"
#include "Mesh/ConfigPartAssembler.h"
#include "Mesh/Gossip.h"
#include "Mesh/NodeRegistry.h"
#include "Mesh/WatchGroup.h"
#include "peer.pb.h"
#include "platform/AnnouncementReader.h"
#include "platform/ConfigurationReader.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

using namespace robinrun;

void announce(const std::string& text)
{
    AnnouncedUpstream upstream;
    for (const char* method : { "PUT", "DELETE", "PUT" }) {
        const auto read = platform::readAnnouncement({ method, "/instances/i-1", {}, text });
        if (read)
            upstream.applyAnnouncement(read.value());
    }
    // No start that is heard may be one that its key does not name again.
    if (upstream.current()
        && BackendLife::fromKey(upstream.current()->life.key()) != upstream.current()->life)
        std::abort();
}

void takeRecords(const proto::PeerMessage& message)
{
    NodeRegistry registry;
    std::vector<std::string> addresses;
    for (const auto& it : message.node_records().records()) {
        if (!validationError(it).empty())
            continue;
        registry.mergeRecord(it);
        addresses.push_back(it.peer_address());
    }
    WatchGroup group("10.0.0.1:1", {});
    group.setNodes(addresses);
    Gossip gossip(registry, "self", {}, [](const std::string&, proto::PeerMessage&, Instant) {});
    const auto ignore = [](proto::PeerMessage&) {};
    gossip.sendMissingRecords(message.node_records(), ignore);
    gossip.answerDigests(message.registry_digests(), ignore, Instant {});
    gossip.onSummaries(message.record_summaries(), ignore);
    gossip.answerRequest(message.record_request(), ignore);
    (void)registry.upstreams();
    (void)registry.contactsOf("self", 16);
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the fuzzer asks for this name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t n)
{
    const std::string text(reinterpret_cast<const char*>(data), n);
    announce(text);
    (void)platform::readConfiguration(text);
    (void)platform::versionOf(text);
    (void)BackendLife::fromKey(text);
    proto::PeerMessage message;
    if (message.ParseFromString(text))
        takeRecords(message);
    if (message.has_config_part()) {
        ConfigPartAssembler fetch;
        (void)fetch.addPart(message.config_part(), 1);
        (void)fetch.decodeCopy("");
    }
    return 0;
}
