#pragma once

#include "Control/Membership.h"
#include "Core/TokenBucket.h"
#include "Node/NodeContext.h"
#include "Node/PeerLinks.h"
#include "Once/ClaimBatcher.h"
#include "Once/ClaimFold.h"
#include "Platform/AppendLog.h"
#include "peer.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace robinrun {

/// \brief Decides claims on idempotency keys: asks the home node of a key's stream, and is that home for
/// some.
///
/// A stream's home is the live host with the highest rendezvous rank, only so that claims gather into few
/// appends. When two nodes think that they are home, or none answers, the stream itself still has one first
/// claim.
class ClaimService {
public:
    using Decided = std::function<void(const ClaimDecision&)>;
    using Answer = std::function<void(proto::ClaimReply&)>;

    ClaimService(
        NodeContext& context, AppendLog& log, const Membership& members, SendToPeer send, Instant now);

    /// \brief Asks for the winner of a key. \a decided runs once, within `claims.decide_within` x 1.5.
    void claim(const Claim& claim, Decided decided, Instant now);

    /// \brief Another node asks this one as the home.
    void takeRequest(const proto::ClaimRequest& request, Answer answer, Instant now);

    /// \brief The home has answered.
    void takeReply(const proto::ClaimReply& reply);

    /// \brief Runs \a f when claims come while none were in hand: tick() is then to be called.
    void onBusy(std::function<void()> f) { m_becameBusy = std::move(f); }

    /// \brief Timed work: batches, time-outs; to be called every millisecond or two while isBusy().
    void tick(Instant now);
    bool isBusy() const { return !m_asked.empty() || !m_homes.empty(); }

    std::uint64_t appends() const { return m_appends; }

private:
    struct Home {
        ClaimFold fold;
        ClaimBatcher batcher;
        std::unordered_map<std::uint64_t, Decided> deciders;
        bool isReading = false;
        bool isLogOut = false; ///< the last read failed: claims are given up at once until one succeeds
        Instant lastRequest {};
        Instant readAgainAt {};

        Home(ClaimFold::Options foldOptions, ClaimBatcher::Options batchOptions, std::uint64_t incarnation,
            const std::string& stream)
            : fold(foldOptions)
            , batcher(batchOptions, incarnation, stream)
        {
        }
    };
    struct Asked {
        Claim claim;
        std::uint32_t partition = 0;
        Decided decided;
        Instant since {};
        std::size_t askedHomes = 0;
        Instant askAgainAt {};
    };

    void ask(std::uint64_t number, Asked& asked, Instant now);
    std::string homeOf(std::uint32_t partition, std::size_t rank, Instant now);
    void decideHere(std::uint32_t partition, const Claim& claim, Decided decided, Instant now);
    Home& home(std::uint32_t partition);
    void read(std::uint32_t partition, Home& home, Instant now);
    void flush(std::uint32_t partition, Home& home, Instant now);
    void deliver(Home& home);
    void tickAsked(Instant now);

    NodeContext* m_context;
    AppendLog* m_log;
    const Membership* m_members;
    SendToPeer m_send;
    TokenBucket m_appendBudget;
    std::function<void()> m_becameBusy;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_appends = 0;
    std::unordered_map<std::uint64_t, Asked> m_asked;
    std::map<std::uint32_t, Home> m_homes;
    /// The first homes of a stream; finding them is O(hosts), so they are kept for a moment.
    struct HomeNames {
        std::vector<std::string> names;
        Instant validUntil {};
    };
    std::map<std::uint32_t, HomeNames> m_homeNames;
};

/// \returns the name of a claim stream.
std::string claimStream(std::uint32_t partition);

} // namespace robinrun
