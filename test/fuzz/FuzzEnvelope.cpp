/// \file Fuzzes what peers and the log may send: envelopes, records, claims, framed pages, tickets.

#include "Config/ConfigFollower.h"
#include "Node/JsonText.h"
#include "Once/ClaimFold.h"
#include "Once/KeyCreationTime.h"
#include "Platform/HttpPlatform.h"
#include "peer.pb.h"

#include <cstdint>
#include <string>

// NOLINTNEXTLINE(readability-identifier-naming): the fuzzer asks for this name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t n)
{
    using namespace robinrun;
    const std::string text(reinterpret_cast<const char*>(data), n);
    proto::PeerMessage message;
    if (message.ParseFromString(text) && message.has_records()) {
        ConfigFollower follower;
        follower.applyPeerRecords(message.records());
        (void)follower.recordsFrom(0);
    }
    ConfigState state;
    state.apply(text);
    (void)state.digest();
    const LogPage page { "log", 0, 0, 1, 0, { text } };
    ClaimFold fold({});
    (void)fold.applyPage(page, 1700000000000);
    ConfigFollower follower;
    follower.applyLogPage(page);
    (void)unframeRecords(text);
    (void)Ticket::parse(text);
    (void)keyCreationTimeMs(text);
    proto::Resource resource;
    (void)fromText(text, resource);
    (void)mergePatch(text, resource);
    return 0;
}
