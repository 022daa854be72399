#include "support/RatesModel.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck/catch.h>

/// \file Rates of groups over all nodes: what runs in any window, and what is refused without need.

using namespace robinrun;
using support::RatesModel;

namespace {

constexpr std::size_t hosts = 74;

/// \brief Brings calls of groups to nodes at given rates.
class Demand {
public:
    Demand(RatesModel& model, std::uint64_t seed)
        : m_model(&model)
        , m_random(seed)
    {
    }

    /// \brief Lets \a length pass with \a perSecond calls of \a group at the nodes from \a first on.
    void pass(
        const std::string& group, double perSecond, std::size_t first, std::size_t count, Duration length)
    {
        const auto end = m_model->now + length;
        while (m_model->now < end) {
            m_model->step();
            m_due += perSecond * 0.001 * -std::log(1 - m_random.unit());
            for (; m_due >= 1; --m_due) {
                const auto i = first + m_random.below(count);
                if (!m_model->nodes[i].isFrozen)
                    m_model->call(i, group);
            }
        }
    }

private:
    RatesModel* m_model;
    Random m_random;
    double m_due = 0;
};

} // namespace

TEST_CASE("No window holds more calls than the rate allows, whatever fails", "[rates]")
{
    rc::prop("losses, cuts, restarts, freezes, changed rates", [] {
        const GroupRate rate { *rc::gen::element(0.0, 2.0, 20.0, 100.0) + 0.5,
            *rc::gen::element(0.0, 2.0, 100.0) };
        const auto n = *rc::gen::inRange<std::size_t>(1, 12);
        RatesModel model(n, { { "g", rate } }, *rc::gen::inRange(1, 1000));
        model.loss = *rc::gen::element(0.0, 0.05, 0.5);
        model.jitter = *rc::gen::element(0.3, 100.0);
        model.refusedShare = *rc::gen::element(0.0, 0.3);
        Demand demand(model, *rc::gen::inRange(1, 1000));
        const auto faults = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 8));
        for (const auto fault : faults) {
            const auto i = model.random.below(n);
            auto& node = model.nodes[i];
            if (fault == 0)
                model.restart(i);
            if (fault == 1)
                node.side = 1 - node.side;
            if (fault == 2)
                node.isFrozen = !node.isFrozen;
            if (fault == 3) {
                for (auto& it : model.nodes)
                    it.side = 0;
            }
            demand.pass("g", *rc::gen::element(0.5, 1.5, 7.0) * rate.perSecond, 0, n, 700ms);
        }
        RC_ASSERT(double(model.mostInWindow("g")) <= model.terms.bound(rate));
    });
}

TEST_CASE("Many restarts in a row give no second burst", "[rates]")
{
    const GroupRate rate { 20, 20 };
    RatesModel model(8, { { "g", rate } }, 3);
    Demand demand(model, 4);
    demand.pass("g", 10, 0, 8, 5s);
    for (int k = 0; k < 4; ++k) {
        for (std::size_t i = 0; i < 8; ++i)
            model.restart(i);
        demand.pass("g", 140, 0, 8, 1s);
    }
    REQUIRE(double(model.mostInWindow("g")) <= model.terms.bound(rate));
}

TEST_CASE("Below its rate no call is refused, whether its group is large or has a call a second", "[rates]")
{
    for (const double perSecond : { 189.0, 20.0, 1.6 }) {
        const GroupRate rate { perSecond, perSecond };
        RatesModel model(hosts, { { "g", rate } }, 5);
        Demand demand(model, 6);
        // All of it at a few callers' hosts, as far as it is small.
        const auto at = std::clamp<std::size_t>(static_cast<std::size_t>(perSecond), 2, hosts);
        demand.pass("g", perSecond / 1.6, 0, at, 12s);
        const auto before = model.refused["g"];
        const auto asked = model.asked["g"];
        demand.pass("g", perSecond / 1.6, 0, at, 20s);
        CAPTURE(perSecond);
        REQUIRE(double(model.refused["g"] - before) <= 0.005 * double(model.asked["g"] - asked));
    }
}

TEST_CASE("A group whose calls come in at three hosts of 74, or move to others, soon has its rate", "[rates]")
{
    const GroupRate rate { 100, 100 };
    RatesModel model(hosts, { { "g", rate } }, 7);
    Demand demand(model, 8);
    demand.pass("g", 60, 20, 50, 10s);
    demand.pass("g", 400, 0, 3, 4s); // the burst is used up, and the change is a second old by far
    auto from = model.now;
    demand.pass("g", 400, 0, 3, 4s);
    REQUIRE(double(model.ranSince("g", from)) >= 0.95 * 4 * rate.perSecond);
    demand.pass("g", 400, 40, 20, 2s);
    from = model.now;
    demand.pass("g", 400, 40, 20, 4s);
    REQUIRE(double(model.ranSince("g", from)) >= 0.95 * 4 * rate.perSecond);
    REQUIRE(double(model.mostInWindow("g")) <= model.terms.bound(rate));
}

TEST_CASE("One that sends many times its usual is held to its rate, and what it asks costs little", "[rates]")
{
    const GroupRate rate { 180, 180 };
    RatesModel model(hosts, { { "g", rate } }, 9);
    Demand demand(model, 10);
    demand.pass("g", 112, 0, hosts, 6s);
    const auto sent = model.sent;
    demand.pass("g", 840, 0, hosts, 8s);
    REQUIRE(double(model.mostInWindow("g")) <= model.terms.bound(rate));
    REQUIRE(double(model.ranSince("g", model.now - 6s)) >= 0.9 * 6 * rate.perSecond);
    // Asks and grants, of each node and second.
    REQUIRE(double(model.sent - sent) / 8 / hosts <= 30);
}

TEST_CASE("A lost lender costs its part until it is back, and no call waits long for it", "[rates]")
{
    const GroupRate rate { 100, 100 };
    RatesModel model(hosts, { { "g", rate } }, 11);
    Demand demand(model, 12);
    demand.pass("g", 60, 0, hosts, 8s);
    CreditHomes homes;
    homes.setNodes(model.known());
    const auto& home = homes.homeOf("g", 0);
    for (auto& it : model.nodes)
        it.isFrozen = it.name == home;
    demand.pass("g", 60, 0, hosts, 500ms);
    const auto asked = model.asked["g"];
    const auto refused = model.refused["g"];
    demand.pass("g", 60, 0, hosts, 6s);
    REQUIRE(double(model.refused["g"] - refused) <= 0.05 * double(model.asked["g"] - asked));
}

TEST_CASE("A home is the same for all that know the same nodes, and moves with its node alone", "[rates]")
{
    CreditHomes a;
    CreditHomes b;
    std::vector<CreditHomes::Node> nodes;
    for (std::size_t i = 0; i < 40; ++i)
        nodes.push_back({ "n" + std::to_string(i), 1 });
    a.setNodes(nodes);
    std::reverse(nodes.begin(), nodes.end());
    b.setNodes(nodes);
    std::map<std::string, int> load;
    for (int g = 0; g < 100; ++g) {
        for (std::uint32_t part = 0; part < mostRateParts; ++part) {
            const auto name = "g" + std::to_string(g);
            REQUIRE(a.homeOf(name, part) == b.homeOf(name, part));
            ++load[a.homeOf(name, part)];
        }
    }
    REQUIRE(load.size() == 40);
    const auto lost = a.homeOf("g0", 0);
    std::erase_if(nodes, [&](const auto& it) { return it.name == lost; });
    b.setNodes(nodes);
    for (int g = 0; g < 100; ++g) {
        const auto name = "g" + std::to_string(g);
        REQUIRE((a.homeOf(name, 0) == b.homeOf(name, 0) || a.homeOf(name, 0) == lost));
    }
    for (std::size_t i = 0; i < 8; ++i)
        nodes[i].capacity = 5; // these have more room than the others
    b.setNodes(nodes);
    for (int g = 0; g < 40; ++g) {
        const auto& home = b.homeOf("g" + std::to_string(g), 1);
        REQUIRE(
            std::any_of(nodes.begin(), nodes.begin() + 8, [&](const auto& it) { return it.name == home; }));
    }
    b.setNodes({});
    REQUIRE(b.homeOf("g0", 0).empty());
}

TEST_CASE("A lender takes no word for more than it lent, nor an old account for a new one", "[rates]")
{
    CreditLender lender { RateTerms {} };
    const GroupRate rate { 40, 40 };
    const auto told
        = [](std::uint64_t opened, std::uint64_t used, std::uint64_t returned, std::uint32_t wanted) {
              proto::CreditAccount out;
              out.set_group("g");
              out.set_opened(opened);
              out.set_used(used);
              out.set_returned(returned);
              out.set_wanted(wanted);
              return out;
          };
    Instant now { 100s };
    (void)lender.take(1, told(1, 0, 0, 0), rate, now);
    now += 1s;
    const auto lent = lender.take(1, told(1, 0, 0, 5), rate, now).lent();
    REQUIRE(lent == 5);
    REQUIRE(lender.lent() == 5);
    REQUIRE(lender.take(1, told(1, 0, 9, 5), rate, now).lent() == 5); // it can't return nine
    REQUIRE(lender.lent() == 5);
    REQUIRE(lender.take(1, told(1, 2, 3, 0), rate, now).lent() == 5);
    REQUIRE(lender.lent() == 0);
    REQUIRE(lender.take(1, told(2, 0, 0, 4), rate, now).lent() == 4);
    REQUIRE(lender.take(1, told(1, 2, 3, 9), rate, now).opened() == 2); // late on its way
    REQUIRE(lender.lent() == 4);
    now += 5s; // longer than the term
    lender.tick(now);
    REQUIRE(lender.lent() == 0);
    REQUIRE(lender.accounts() == 0);
}
