#pragma once

#include "Queueing/Admission.h"
#include "Routing/ServiceRouter.h"
#include "SharedBackend.h"
#include "support/VirtualLoop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace robinrun::bench {

/// \brief What came of the calls of callers; nested ones show in these.
struct SharedTally {
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0; ///< not run
    std::uint64_t failed = 0; ///< a nested call was refused, or the deadline passed
    std::uint64_t far = 0; ///< attempts that left their data hall
    std::uint64_t messages = 0; ///< between nodes

    std::uint64_t calls() const { return inTime + late + refused + failed; }
};

/// \brief A run of one policy on a site of shared hosts: the node's own classes decide, network and backend
/// servers are fakes. One node stands beside each upstream and is an ingress for both services.
class SharedRun {
public:
    struct Options {
        ChoicePolicyKind kind = ChoicePolicyKind::Timely;
        News news = News::ToldAndAsked;
        double load = 0.75; ///< of the capacity at full use of all slots
        ConcurrencyLimitKind limit
            = ConcurrencyLimitKind::Learnt; ///< on the calls that an owner runs at once
        double usableShare = 1; ///< of the slots that owners use, with a fixed limit
        Duration probeEvery = 50ms; ///< while an owner believes that its server is slow; 0: never
        Duration length = 30s;
        std::uint64_t seed = 1;
    };

    SharedRun(const SharedSite& site, Options options);
    SharedTally run();

private:
    using CallId = std::uint64_t;
    struct Upstream {
        std::string name;
        std::size_t service;
        std::uint32_t hall;
        Admission admission;
        SharedBackend backend;
        double told = 1; ///< slow-down that its ingresses know of
        bool isProbing = false;
    };
    struct Ingress {
        std::uint32_t hall;
        std::vector<ServiceRouter> routers; ///< by service
        Random random;
    };
    struct Call {
        std::size_t service = 0;
        std::size_t ingress = 0;
        Instant arrived {};
        Instant deadline {};
        Duration target {};
        std::uint32_t asksLeft = 0;
        std::uint32_t refusalsLeft = 0;
        std::vector<std::string> busy;
        std::vector<std::string> tried;
        std::size_t upstream = 0; ///< where it is now
        double slowdownWhenSent = 1;
        Instant sent {};
        Duration expected {}; ///< as the router expected it when sent
        Instant started {};
        CallId parent = 0; ///< 0: a caller's own
        std::uint32_t nestedLeft = 0;
        bool hasFailed = false; ///< a nested call was not answered
    };

    void addUpstreams(std::size_t service, std::uint32_t n);
    void addIngress(std::uint32_t hall, std::uint64_t seed);
    void nextArrival();
    CallId begin(std::size_t service, std::size_t ingress, CallId parent, Instant deadline, Duration target);
    void proceed(CallId id);
    void takeAtOwner(CallId id, bool onlyAtOnce);
    void act(const AdmissionResult& dispatch);
    void runAtBackend(CallId id);
    void workDone(CallId id);
    void ended(CallId id);
    void answer(CallId id, Reason reason);
    void takeAnswer(CallId id, const OwnerReport& report, Reason reason, Duration held);
    void refused(CallId id, Reason reason);
    void finish(CallId id, std::optional<Reason> refusal);
    /// \brief The owner hears how fast its server is now.
    void learn(std::size_t upstream);
    /// \brief The owner's timed work.
    void tick(std::size_t upstream);
    void tell(std::size_t upstream);
    OwnerReport reportOf(const Upstream& upstream) const;
    CallProfile needsOf(const Call& call) const;
    bool asks() const { return m_options.news == News::Asked || m_options.news == News::ToldAndAsked; }
    bool tells() const { return m_options.news == News::Told || m_options.news == News::ToldAndAsked; }
    Duration oneWay(std::uint32_t hallA, std::uint32_t hallB) const;

    SharedSite m_site;
    Options m_options;
    support::VirtualLoop m_loop;
    Random m_random;
    std::vector<Upstream> m_upstreams;
    std::map<std::string, std::size_t> m_byName;
    std::vector<Ingress> m_ingresses;
    std::map<CallId, Call> m_calls;
    CallId m_lastCall = 0;
    SharedTally m_tally;
};

} // namespace robinrun::bench
