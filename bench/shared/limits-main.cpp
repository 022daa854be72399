/// \file Compares the ways to bound concurrency with the best fixed limit of each cell of a grid of loads;
/// one JSON line a cell and seed; the same output every run.

#include "LimitGrid.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <string>
#include <utility>

namespace {

using namespace robinrun;
using namespace robinrun::bench;

double inTime(const LimitCell& cell, ConcurrencyLimitKind kind, double share, std::uint64_t seed)
{
    SharedRun::Options options;
    options.limit = kind;
    options.usableShare = share;
    options.load = cell.load;
    options.seed = seed;
    options.length = 20s;
    const auto tally = SharedRun(cell.site(), options).run();
    return double(tally.inTime) / double(tally.calls());
}

void runCell(const LimitCell& cell, std::uint64_t seed)
{
    std::pair<double, double> oracle;
    for (const auto share : fixedShares)
        oracle = std::max(oracle, { inTime(cell, ConcurrencyLimitKind::Fixed, share, seed), share });
    std::printf("{\"knee\":\"%s\",\"noise\":\"%s\",\"cold\":\"%s\",\"slots\":%u,\"load\":%.1f,\"seed\":%llu",
        cell.knee.name.data(), cell.noise.name.data(), cell.cold.name.data(), cell.slots, cell.load,
        static_cast<unsigned long long>(seed));
    std::printf(",\"oracle\":%.4f,\"oracle_share\":%.2f,\"fixed_0.8\":%.4f", oracle.first, oracle.second,
        inTime(cell, ConcurrencyLimitKind::Fixed, 0.8, seed));
    for (const auto kind :
        { ConcurrencyLimitKind::Gradient, ConcurrencyLimitKind::Aimd, ConcurrencyLimitKind::Learnt })
        std::printf(",\"%s\":%.4f", nameOf(kind).data(), inTime(cell, kind, 1, seed));
    std::puts("}");
}

} // namespace

int main(int argc, char** argv)
{
    static const option longOptions[] = { { "part", required_argument, nullptr, 'p' },
        { "parts", required_argument, nullptr, 'n' }, { "seed", required_argument, nullptr, 'e' },
        { "most-slots", required_argument, nullptr, 'm' }, { nullptr, 0, nullptr, 0 } };
    std::size_t part = 0;
    std::size_t parts = 1;
    std::uint64_t seed = 1;
    std::uint64_t mostSlots = slotCounts.back();
    int c = 0;
    while ((c = getopt_long(argc, argv, "p:n:e:m:", longOptions, nullptr)) != -1) {
        if (c == 'p') {
            part = std::strtoull(optarg, nullptr, 10);
        } else if (c == 'n') {
            parts = std::max(std::strtoull(optarg, nullptr, 10), 1ULL);
        } else if (c == 'e') {
            seed = std::strtoull(optarg, nullptr, 10);
        } else if (c == 'm') {
            mostSlots = std::strtoull(optarg, nullptr, 10);
        } else {
            std::cerr << "usage: bench-limits [--part I --parts N] [--seed S] [--most-slots N]\n";
            return 2;
        }
    }
    const auto cells = limitGrid();
    for (std::size_t i = part; i < cells.size(); i += parts)
        if (cells[i].slots <= mostSlots)
            runCell(cells[i], seed);
}
