#include "Core/Hash.h"
#include "Node/LastWords.h"
#include "Node/Owner.h"
#include "support/IngressFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <rapidcheck/catch.h>
#include <set>
#include <utility>
#include <vector>

/// \file What an owner that ends tells its ingresses, and what they make of it when the link is lost.

using namespace robinrun;
using support::hostOf;
using support::IngressFixture;
using support::NodeFixture;

namespace {

/// \brief An ingress that has heard from both owners, so that its calls are meant for their present lives.
struct HeardFixture : IngressFixture {
    static constexpr std::uint64_t ownerLife = 5;

    HeardFixture()
    {
        std::set<std::string> heard;
        while (heard.size() < 2) {
            const auto it = call("/s/x");
            heard.insert(it.upstream());
            auto answer = answerTo(it, proto::ANSWERED);
            answer.set_incarnation(ownerLife);
            answer.mutable_load()->set_slots(1);
            give(hostOf(it), answer);
            REQUIRE(outcome() == "answered");
        }
    }

    static std::string addressOf(const proto::Call& call)
    {
        return call.upstream() == "u1" ? "10.0.0.1:1" : "10.0.0.2:1";
    }

    void sendLastWord(const proto::Call& call, std::uint64_t highest, std::uint64_t callerLife = 77)
    {
        proto::LastWord word;
        word.set_incarnation(ownerLife);
        word.set_caller_incarnation(callerLife);
        word.set_highest(highest);
        ingress.takeLastWord({ hostOf(call), addressOf(call), ownerLife }, word);
    }
};

} // namespace

// Calls that crossed the end of their owner were answered 504, as if they might have run.
TEST_CASE("A call that its owner had not received when it ended goes elsewhere at no cost", "[lastword]")
{
    HeardFixture f;
    const auto first = f.call("/s/buy/x");
    REQUIRE(first.owner_incarnation() == HeardFixture::ownerLife);
    f.sendLastWord(first, first.number() - 1);
    f.ingress.peerLost(HeardFixture::addressOf(first), monotonicNow());
    const auto second = f.nextCall();
    REQUIRE(second.upstream() != first.upstream());
    REQUIRE(second.attempts_left() == first.attempts_left());
    f.sendLastWord(second, second.number() - 1);
    f.ingress.peerLost(HeardFixture::addressOf(second), monotonicNow());
    REQUIRE(f.outcome() == "not-run");
    REQUIRE(f.reply->status == 503);
}

TEST_CASE("A call that its owner has received, or that another life may run, stays unknown", "[lastword]")
{
    HeardFixture f;
    const auto received = f.call("/s/buy/x");
    f.sendLastWord(received, received.number());
    f.ingress.peerLost(HeardFixture::addressOf(received), monotonicNow());
    REQUIRE(f.outcome() == "unknown");
    const auto ofFormerLife = f.call("/s/buy/x");
    f.sendLastWord(ofFormerLife, 0, 76);
    f.ingress.peerLost(HeardFixture::addressOf(ofFormerLife), monotonicNow());
    REQUIRE(f.outcome() == "unknown");
}

TEST_CASE("Without a last word a lost call is unknown, as with nodes that give none", "[lastword]")
{
    HeardFixture f;
    const auto call = f.call("/s/buy/x");
    f.ingress.peerLost(HeardFixture::addressOf(call), monotonicNow());
    REQUIRE(f.outcome() == "unknown");
    REQUIRE(f.reply->status == 504);
}

namespace {

constexpr std::uint32_t slots = 3;

/// \brief An ingress' calls and the lives of one owner, with messages that the test lets come when it likes.
///
/// The owner is the real one; nothing is let out of its pool, so that what it has begun runs for ever.
class Site {
public:
    Site()
        : m_fixture("u1")
    {
        auto config = support::exampleConfig(m_fixture.backend);
        proto::Resource upstream;
        upstream.set_name("upstreams/u1");
        auto& it = *upstream.mutable_upstream();
        it.set_service("s");
        it.set_address(m_fixture.backend);
        it.set_node_address("10.0.0.1:1");
        it.set_host("host-u1");
        it.set_data_hall("h");
        it.set_region("r");
        it.set_slots(slots);
        it.set_connections(slots);
        config.apply(support::put(upstream));
        m_fixture.context.directory.rebuild(config);
        restartOwner();
    }

    void call(bool knowsOwner)
    {
        const auto number = ++m_lastNumber;
        const auto life = knowsOwner ? m_ownerLife : 0;
        m_out[number] = life;
        m_toOwner.push_back({ number, life, m_ingressLife });
    }

    void deliverCall()
    {
        if (m_toOwner.empty())
            return;
        const auto it = m_toOwner.front();
        m_toOwner.pop_front();
        proto::Call call;
        call.set_number(it.number);
        call.set_upstream("u1");
        call.set_owner_incarnation(it.ownerLife);
        call.set_remaining_us(3000000);
        call.set_group("g");
        call.set_method("GET");
        call.set_target("/x");
        call.set_body_hash(hash64(""));
        const auto key = std::pair(it.ingressLife, it.number);
        m_mayHaveRun.insert(key);
        m_owner->take(
            call, senderOf(it.ingressLife),
            [this, key](const proto::Answer& answer) {
                if (answer.outcome() == proto::NOT_RUN)
                    m_mayHaveRun.erase(key);
            },
            m_now);
    }

    void deliverWord()
    {
        if (m_toIngress.empty())
            return;
        const auto it = m_toIngress.front();
        m_toIngress.pop_front();
        if (it.ingressLife == m_ingressLife)
            m_words.take("host-u1", { it.ownerLife, it.highest });
    }

    /// \param isDropped whether the calls that were under way are lost with it, or come all the same.
    void loseLink(bool isDropped)
    {
        for (const auto& [number, life] : std::exchange(m_out, {})) {
            if (m_words.wasNeverRun("host-u1", life, number))
                m_neverRun.insert({ m_ingressLife, number });
        }
        m_toIngress.clear();
        if (isDropped)
            m_toOwner.clear();
    }

    void beginEnd() { m_owner->beginEnd(m_now); }
    void cancel() { m_owner->cancel(senderOf(m_ingressLife), m_lastNumber, m_now); }

    void restartOwner()
    {
        m_fixture.context.incarnation = ++m_ownerLife;
        m_owner = std::make_unique<Owner>(m_fixture.context, m_now);
        m_owner->onLastWord([this](const Owner::Sender& to, std::uint64_t highest) {
            m_toIngress.push_back({ highest, m_ownerLife, to.incarnation });
        });
        m_owner->configure(m_now);
    }

    void restartIngress()
    {
        ++m_ingressLife;
        m_lastNumber = 0;
        m_out.clear();
        m_words = {};
    }

    std::size_t neverRun() const { return m_neverRun.size(); }

    /// \returns calls that were called not run and may have run.
    std::size_t wrong() const
    {
        return static_cast<std::size_t>(std::count_if(
            m_neverRun.begin(), m_neverRun.end(), [&](const auto& it) { return m_mayHaveRun.contains(it); }));
    }

private:
    using CallKey = std::pair<std::uint64_t, std::uint64_t>; ///< life of the ingress, number
    struct CallMessage {
        std::uint64_t number;
        std::uint64_t ownerLife;
        std::uint64_t ingressLife;
    };
    struct WordMessage {
        std::uint64_t highest;
        std::uint64_t ownerLife;
        std::uint64_t ingressLife;
    };

    static Owner::Sender senderOf(std::uint64_t life) { return { "ingress", "10.0.0.9:1", life }; }

    NodeFixture m_fixture;
    Instant m_now = monotonicNow();
    std::unique_ptr<Owner> m_owner;
    std::uint64_t m_ownerLife = 0;
    std::uint64_t m_ingressLife = 1;
    std::uint64_t m_lastNumber = 0;
    LastWords m_words;
    std::map<std::uint64_t, std::uint64_t> m_out; ///< number of a call, life of the owner it is meant for
    std::deque<CallMessage> m_toOwner;
    std::deque<WordMessage> m_toIngress;
    std::set<CallKey> m_mayHaveRun;
    std::set<CallKey> m_neverRun;
};

} // namespace

TEST_CASE("Nothing that was handed to a backend server is ever called not run", "[lastword]")
{
    std::size_t neverRun = 0;
    rc::prop("in any order of calls, words, losses of the link and restarts", [&] {
        Site site;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 16));
        for (const auto it : steps) {
            switch (it) {
            case 0:
                site.call(false);
                break;
            case 1:
                site.beginEnd();
                break;
            case 2:
                site.loseLink(true);
                break;
            case 3:
                site.loseLink(false);
                break;
            case 4:
                site.restartOwner();
                break;
            case 5:
                site.restartIngress();
                break;
            case 6:
                site.cancel();
                break;
            case 7:
            case 8:
                site.deliverWord();
                break;
            case 9:
            case 10:
            case 11:
                site.deliverCall();
                break;
            default:
                site.call(true);
            }
        }
        // What is under way comes in the end.
        for (std::size_t i = 0; i < steps.size(); ++i)
            site.deliverCall();
        RC_ASSERT(site.wrong() == 0U);
        neverRun += site.neverRun();
    });
    REQUIRE(neverRun > 0);
}
