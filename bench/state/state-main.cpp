/// \file Bytes of heap that each kind of state takes, as slopes over three sizes with the fit's error.

#include "Config/ConfigState.h"
#include "Control/Membership.h"
#include "Core/Random.h"
#include "Node/Directory.h"
#include "Once/ClaimFold.h"
#include "Once/TicketTable.h"
#include "Routing/ServiceRouter.h"
#include "Wire/SeenCalls.h"

#include <cmath>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <vector>

using namespace robinrun;

namespace {

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// \brief Measures what \a make leaves on the heap for each size, and prints the slope.
void measure(
    const char* what, const std::vector<int>& sizes, const std::function<std::shared_ptr<void>(int)>& make)
{
    std::vector<double> bytes;
    double sumX = 0;
    double sumY = 0;
    for (const int n : sizes) {
        const double before = heapBytes();
        const auto held = make(n);
        bytes.push_back(heapBytes() - before);
        sumX += n;
        sumY += bytes.back();
    }
    const auto count = static_cast<double>(sizes.size());
    double covariance = 0;
    double variance = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        covariance += (sizes[i] - sumX / count) * (bytes[i] - sumY / count);
        variance += std::pow(sizes[i] - sumX / count, 2);
    }
    const double slope = covariance / variance;
    const double intercept = sumY / count - slope * sumX / count;
    double worst = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i)
        worst = std::max(worst, std::abs(bytes[i] - intercept - slope * sizes[i]) / bytes.back());
    std::cout << "{\"bench\":\"state\",\"per\":\"" << what << "\",\"slope_bytes\":" << slope
              << ",\"fit_error\":" << worst << "}\n";
}

proto::Resource upstream(int i)
{
    proto::Resource out;
    out.set_name("upstreams/service-" + std::to_string(i / 15) + "-" + std::to_string(i));
    auto& it = *out.mutable_upstream();
    it.set_service("service-" + std::to_string(i / 15));
    it.set_address("10.11.12.13:8080");
    it.set_node_address("10.11.12.13:8082");
    it.set_host("host-" + std::to_string(i));
    it.set_data_hall("data-hall-" + std::to_string(i % 18));
    it.set_region("region-" + std::to_string(i % 7));
    it.set_slots(12);
    it.set_connections(200);
    return out;
}

std::shared_ptr<ConfigState> configOf(int n)
{
    auto config = std::make_shared<ConfigState>();
    const auto put = [&](proto::Resource resource) {
        proto::ChangeRecord change;
        change.set_id(resource.name());
        *change.mutable_put() = std::move(resource);
        config->apply(change.SerializeAsString());
    };
    for (int i = 0; i < n / 15; ++i) {
        proto::Resource service;
        service.set_name("services/service-" + std::to_string(i));
        service.mutable_service()->set_deadline_ms(1000);
        service.mutable_service()->set_queue_limit(100);
        put(service);
    }
    for (int i = 0; i < n; ++i)
        put(upstream(i));
    return config;
}

} // namespace

namespace {

const std::vector<int> sizes { 3000, 6000, 12000 };

void measureControl()
{
    measure("resource in the folded configuration", sizes, configOf);
    for (const int n : sizes)
        std::cout << "{\"bench\":\"state\",\"resources\":" << n << ",\"snapshot_bytes_each\":"
                  << static_cast<double>(configOf(n)->snapshot().ByteSizeLong()) / n << "}\n";
    measure("upstream in the directory", sizes, [](int n) {
        const auto config = configOf(n);
        auto directory = std::make_shared<Directory>();
        directory->rebuild(*config);
        return directory;
    });
    measure("listed host", sizes, [](int n) {
        auto members = std::make_shared<Membership>(Membership::Options {});
        HostPage page { 1, true, {}, {} };
        for (int i = 0; i < n; ++i)
            page.hosts.push_back({ "host-" + std::to_string(i), "10.11.12.13:8082",
                "data-hall-" + std::to_string(i % 18), "region-" + std::to_string(i % 7), false });
        members->applyPage(page);
        return members;
    });
}

void measureOnce()
{
    measure("claim of a key", sizes, [](int n) {
        auto fold = std::make_shared<ClaimFold>(ClaimFold::Options {});
        Random random(1);
        LogPage page { "log", 0, 0, static_cast<std::uint64_t>(n), 0, {} };
        for (int i = 0; i < n; ++i) {
            const Claim claim { { random.bits(), random.bits() }, 1700000000000,
                { "service-1-upstream-12", 1, 1, { random.bits(), random.bits() } } };
            page.records.push_back(ClaimBatch { "batch", { claim } }.serialize());
        }
        fold->applyPage(page, 1700000000000);
        return fold;
    });
    measure("used ticket with a 500-byte answer", sizes, [](int n) {
        auto table = std::make_shared<TicketTable>(
            "u", 1, TicketTable::Options { 60s, 10, 1ULL << 34U }, Instant {});
        Random random(1);
        for (int i = 0; i < n; ++i) {
            const auto ticket = table->mint(random, {});
            table->beginCall(ticket, {}, 1, {});
            table->recordAnswer(
                ticket.nonce, { true, 200, { { "Content-Type", "text/plain" } }, std::string(500, 'x') });
        }
        return table;
    });
}

void measureCalls()
{
    measure("upstream of a service in use at an ingress", { 300, 600, 1200 }, [](int n) {
        auto router = std::make_shared<ServiceRouter>(ServiceRouter::Options {});
        std::vector<UpstreamConfig> targets;
        targets.reserve(static_cast<std::size_t>(n));
        for (int i = 0; i < n; ++i)
            targets.push_back({ "service-1-upstream-" + std::to_string(i), 12, 1ms });
        router->setUpstreams(targets, {});
        for (const auto& it : targets) {
            router->onAttemptSent(it.name, 1);
            router->onAttemptAnswered(it.name, 1, {}, 10ms, false, {});
        }
        return router;
    });
    measure("ingress that calls an owner", { 300, 600, 1200 }, [](int n) {
        auto seen = std::make_shared<SeenCalls>(60s);
        for (int i = 0; i < n; ++i)
            seen->isNew(static_cast<std::uint64_t>(i), 1, {});
        return seen;
    });
}

} // namespace

int main()
{
    measureControl();
    measureOnce();
    measureCalls();
}
