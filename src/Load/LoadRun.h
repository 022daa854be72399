#pragma once

#include "Core/Random.h"
#include "Core/Time.h"
#include "Http/HttpPool.h"
#include "Load/LoadSpec.h"
#include "Node/Timer.h"

#include <cstdint>
#include <event2/event.h>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace robinrun {

/// \brief What came of the calls of one group and class.
struct LoadTally {
    std::uint64_t answered = 0;
    std::uint64_t failed = 0; ///< answered with a status of 500 or more by the backend server
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t wrong = 0; ///< another call's answer, or not the whole of it
    std::uint64_t noReply = 0; ///< the node itself went away
    std::vector<std::int64_t> latencyUs; ///< of answered calls, from the planned time of sending
    std::vector<std::int64_t> addedUs; ///< beyond queueing and service
};

/// \brief Sends a load from one loop and gathers what comes of it.
///
/// Each call carries a nonce and the length of the answer it wants; an answer counts only if both are right.
class LoadRun {
public:
    /// \brief Plans the load; it runs on \a base and ends the loop when it is over.
    LoadRun(event_base* base, const LoadSpec& spec);

    void print(std::ostream& out, bool isJson) const;

    /// \returns whether no answer was wrong and nothing ran twice.
    bool isGood() const;

private:
    using Key = std::pair<std::string, std::string>;
    struct Planned {
        const LoadStream* stream;
        Instant at {};
    };
    /// One call, over its repeats.
    struct Call {
        const LoadStream* stream;
        std::string nonce;
        std::string ticket;
        std::string key;
        Instant planned {};
        int sends = 0;
        bool isCounted = false;
    };
    using CallPtr = std::shared_ptr<Call>;

    void tick();
    void begin(const LoadStream& stream, Instant planned);
    void sendDirect(Instant planned);
    void takeTicket(const CallPtr& call);
    void send(const CallPtr& call);
    void ended(const CallPtr& call, Instant sent, const Result<HttpReply, HttpError>& result);
    bool isRight(const Call& call, const HttpReply& reply) const;
    void sendAgain(const CallPtr& call);
    HttpRequest requestOf(const Call& call) const;
    std::size_t anyIngress();
    void heardFrom(std::size_t ingress);
    void finishWhenQuiet(Instant now);
    void askCounts();
    static void printHeader(std::ostream& out);
    static void printRow(std::ostream& out, const Key& key, const LoadTally& tally);
    static void printJson(std::ostream& out, const Key& key, const LoadTally& tally);
    LoadTally total() const;

    event_base* m_base;
    LoadSpec m_spec;
    Random m_random;
    /// An ingress that is silent for a while is left alone, as a sensible caller would.
    struct IngressHealth {
        std::uint64_t out = 0;
        Instant silentSince {};
        Instant tryAgainAt {};
    };
    std::vector<std::unique_ptr<HttpPool>> m_ingresses;
    std::vector<IngressHealth> m_health;
    std::vector<std::unique_ptr<HttpPool>> m_direct;
    std::vector<std::unique_ptr<HttpPool>> m_backends;
    std::vector<Planned> m_next;
    Instant m_nextDirect {};
    Instant m_start;
    std::uint64_t m_lastNonce = 0;
    std::uint64_t m_out = 0;
    bool m_isAskingCounts = false;
    std::map<Key, LoadTally> m_tallies;
    LoadTally m_directTally;
    std::uint64_t m_ran = 0;
    std::uint64_t m_ranTwice = 0;
    std::uint64_t m_shed = 0;
    Timer m_timer;
};

} // namespace robinrun
