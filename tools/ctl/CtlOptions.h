#pragma once

#include <cstdlib>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace robinrun::ctl {

/// Exit status for a bad command line or file.
inline constexpr int badUsage = 2;

/// \brief What the command line of robinrunctl says.
struct CtlOptions {
    std::string server; ///< operator port of a node
    std::string token; ///< the operator's
    std::string file; ///< resources to apply
    std::string output = "table"; ///< table, json or yaml
    std::string version; ///< only this one is changed; "" for the present one
    std::string begin; ///< of the span of time for losses; "" for all
    std::string end;
    bool isDryRun = false;
    std::vector<std::string> words; ///< the command and its arguments
};

/// \brief Prints how to use the command line to \a out.
void printUsage(std::ostream& out);

/// \brief Prints \a message as an error. \returns \a status.
int fail(const std::string& message, int status = EXIT_FAILURE);

/// \brief Reads the command line and the environment into \a out.
/// \returns an exit status; nothing to go on.
std::optional<int> parse(int argc, char** argv, CtlOptions& out);

} // namespace robinrun::ctl
