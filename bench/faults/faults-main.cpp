/// \file Runs random schedules of faults over the at-most-once parts and prints what came of them.
///
/// Usage: bench-faults [schedules] [first seed]. Exits with 1 if anything ran twice or was falsely called not
/// run.

#include "support/OnceModel.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
    using robinrun::support::OnceModel;
    const long schedules = argc > 1 ? std::atol(argv[1]) : 100000;
    const long first = argc > 2 ? std::atol(argv[2]) : 1;
    robinrun::support::OnceVerdict sum;
    for (long seed = first; seed < first + schedules; ++seed) {
        const auto verdict = OnceModel(static_cast<std::uint64_t>(seed), OnceModel::correctParts()).run();
        if (!verdict.hasNoViolation())
            std::cout << "{\"bench\":\"faults\",\"bad_seed\":" << seed << "}\n";
        sum.keysRunTwice += verdict.keysRunTwice;
        sum.falseNotRun += verdict.falseNotRun;
        sum.foreignAnswers += verdict.foreignAnswers;
        sum.answered += verdict.answered;
        sum.notRun += verdict.notRun;
        sum.unknown += verdict.unknown;
    }
    std::cout << "{\"bench\":\"faults\",\"schedules\":" << schedules << ",\"answered\":" << sum.answered
              << ",\"not_run\":" << sum.notRun << ",\"unknown\":" << sum.unknown
              << ",\"ran_twice\":" << sum.keysRunTwice << ",\"false_not_run\":" << sum.falseNotRun
              << ",\"foreign_answers\":" << sum.foreignAnswers << "}\n";
    return sum.hasNoViolation() ? 0 : 1;
}
