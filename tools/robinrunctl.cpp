/// \file The operators' command line.

#include "Client/Explain.h"
#include "Client/OperatorClient.h"
#include "ctl/CtlApply.h"
#include "ctl/CtlOptions.h"
#include "ctl/CtlOutput.h"

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
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

int explainRequest(const CtlOptions& options)
{
    std::vector<std::string> logs;
    for (auto it = options.words.begin() + 2; it != options.words.end(); ++it) {
        std::ifstream in(*it);
        if (!in)
            return fail("can't read " + *it, badUsage);
        std::ostringstream text;
        text << in.rdbuf();
        logs.push_back(text.str());
    }
    const auto story = explain(options.words[1], logs);
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
    OperatorClient client(options.server, options.token);
    if (command == "get" && n == 2)
        return get(client, options);
    if (command == "apply" && n == 1)
        return apply(client, options);
    if (command == "delete" && n == 2)
        return remove(client, options);
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
