/// \file The operators' command line.

#include "Client/EmptiedHallLog.h"
#include "Client/Explain.h"
#include "Client/HeldRequests.h"
#include "Client/LeastServed.h"
#include "Client/LogLine.h"
#include "Client/Losses.h"
#include "Client/OperatorClient.h"
#include "ctl/CtlApply.h"
#include "ctl/CtlOptions.h"
#include "ctl/CtlOutput.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <tuple>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace {

using namespace robinrun;
using namespace robinrun::ctl;

int get(OperatorClient& client, const CtlOptions& options)
{
    const auto reply = show(client.ask("GET", "/v1/" + options.words[1]), options);
    if (!reply)
        return EXIT_FAILURE;
    print(reply->body, options);
    return EXIT_SUCCESS;
}

int status(OperatorClient& client, const CtlOptions& options)
{
    const auto reply = show(client.ask("GET", "/v1/status"), options);
    if (!reply)
        return EXIT_FAILURE;
    if (options.output != "table") {
        print(reply->body, options);
        return EXIT_SUCCESS;
    }
    const auto node = YAML::Load(reply->body);
    std::cout << "node " << node["node"] << " " << node["state"] << ", applied " << node["applied"]
              << ", log " << node["log"]
              << (node["proven_newest"].as<bool>() ? "" : " (not proven to be the newest)") << "\n"
              << "in force at " << node["nodes"] << " of " << node["hosts_listed"] << " listed hosts, from "
              << node["min_applied"] << " to " << node["max_applied"] << "\n";
    std::cout << std::left << std::setw(10) << "VERSION" << std::setw(12) << "IN FORCE"
              << "CHANGE\n";
    for (const auto& it : node["changes"])
        std::cout << std::setw(10) << it["version"].as<std::string>() << std::setw(12)
                  << (it["in_force"].as<std::string>() + "/" + it["of"].as<std::string>()) << it["id"]
                  << "\n";
    for (const auto& it : node["behind"])
        std::cout << "behind: " << it["node"] << " applied " << it["applied"] << " for " << it["since_ms"]
                  << " ms\n";
    return EXIT_SUCCESS;
}

int watch(OperatorClient& client, const CtlOptions& options)
{
    std::string from = options.words.size() > 1 ? options.words[1] : "";
    if (from.empty()) {
        const auto reply = show(client.ask("GET", "/v1/groups"), options);
        if (!reply)
            return EXIT_FAILURE;
        from = YAML::Load(reply->body)["applied"].as<std::string>();
    }
    while (true) {
        const auto reply = show(client.ask("GET", "/v1/watch?from=" + from), options);
        if (!reply)
            return EXIT_FAILURE;
        const auto node = YAML::Load(reply->body);
        for (const auto& it : node["changes"])
            std::cout << it["offset"] << " " << it["name"] << " by " << it["who"]
                      << (it["accepted"].as<bool>() ? " accepted" : " refused")
                      << (it["removed"].as<bool>() ? " (removed)" : "") << std::endl;
        from = node["next"].as<std::string>();
    }
}

/// \returns the texts of the files named from word \a first on; the error is a message.
Result<std::vector<std::string>, std::string> readLogs(const CtlOptions& options, std::size_t first)
{
    std::vector<std::string> logs;
    for (std::size_t i = first; i < options.words.size(); ++i) {
        std::ifstream in(options.words[i]);
        if (!in)
            return failure("can't read " + options.words[i]);
        std::ostringstream text;
        text << in.rdbuf();
        logs.push_back(text.str());
    }
    return logs;
}

int losses(const CtlOptions& options)
{
    LossSpan span;
    for (const auto& [name, text, ms] : { std::tuple { "--begin", options.begin, &span.beginMs },
             std::tuple { "--end", options.end, &span.endMs } }) {
        if (text.empty())
            continue;
        const auto at = parseLogTime(text);
        if (!at)
            return fail(
                std::string(name) + ": '" + text + "' is no time like 2026-12-02T10:11:12.000Z", badUsage);
        *ms = *at;
    }
    const auto logs = readLogs(options, 1);
    if (!logs)
        return fail(logs.error(), badUsage);
    const auto found = findLosses(logs.value(), span);
    if (!found)
        return fail(options.words[1 + found.error().log] + ": " + found.error().message, badUsage);
    std::cout << showLosses(found.value());
    return EXIT_SUCCESS;
}

int held(const CtlOptions& options)
{
    const auto logs = readLogs(options, 1);
    if (!logs)
        return fail(logs.error(), badUsage);
    std::cout << heldRequests(logs.value());
    return EXIT_SUCCESS;
}

int halls(const CtlOptions& options)
{
    const auto logs = readLogs(options, 1);
    if (!logs)
        return fail(logs.error(), badUsage);
    std::cout << emptiedHalls(logs.value());
    return EXIT_SUCCESS;
}

int leastServed(const CtlOptions& options)
{
    constexpr std::size_t shownRows = 10;
    LeastServed out;
    for (std::size_t i = 1; i < options.words.size(); ++i) {
        std::ifstream in(options.words[i]);
        if (!in)
            return fail("can't read " + options.words[i], badUsage);
        out.add(std::filesystem::path(options.words[i]).stem().string(), in);
    }
    out.write(std::cout, shownRows);
    return EXIT_SUCCESS;
}

int explainRequest(const CtlOptions& options)
{
    const auto logs = readLogs(options, 2);
    if (!logs)
        return fail(logs.error(), badUsage);
    const auto story = explain(options.words[1], logs.value());
    if (!story)
        return fail(story.error().message);
    std::cout << story.value();
    return EXIT_SUCCESS;
}

int run(const CtlOptions& options)
{
    const auto command = options.words.empty() ? std::string() : options.words[0];
    const auto n = options.words.size();
    if (command == "explain" && n >= 3)
        return explainRequest(options);
    if (command == "held" && n >= 2)
        return held(options);
    if (command == "losses" && n >= 2)
        return losses(options);
    if (command == "least-served" && n >= 2)
        return leastServed(options);
    if (command == "halls" && n >= 2)
        return halls(options);
    OperatorClient client(options.server, options.token);
    if (command == "get" && n == 2)
        return get(client, options);
    if (command == "apply" && n == 1)
        return apply(client, options);
    if (command == "delete" && n == 2)
        return remove(client, options);
    if (command == "empty" && n == 2)
        return setEmptied(client, options, true);
    if (command == "take-back" && n == 2)
        return setEmptied(client, options, false);
    if (command == "status" && n == 1)
        return status(client, options);
    if (command == "watch" && n <= 2)
        return watch(client, options);
    printUsage(std::cerr);
    return badUsage;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        CtlOptions options;
        const auto status = parse(argc, argv, options);
        return status ? *status : run(options);
    } catch (const std::exception& ex) {
        return fail(ex.what());
    }
}
