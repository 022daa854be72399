/// \file The operators' command line.

#include "Client/Explain.h"
#include "Client/OperatorClient.h"
#include "Config/Validator.h"
#include "Http/HttpStatus.h"
#include "Node/JsonText.h"
#include "resources.pb.h"

#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <google/protobuf/util/json_util.h>
#include <google/protobuf/util/message_differencer.h>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace {

using namespace robinrun;

constexpr int badUsage = 2;
using namespace httpStatus;

constexpr const char* usage = R"(usage: robinrunctl [options] COMMAND

commands:
  get KIND | KIND/ID    show resources (services, upstreams, groups)
  apply -f FILE         create or change the resources of a YAML file
  delete KIND/ID        delete a resource
  status                what is in force, and which nodes are behind
  watch [FROM]          print changes as they come into force
  explain ID LOG...     tell from nodes' logs what became of the request ID

options:
  -s, --server IP:PORT  operator port of any node (default: $ROBINRUN_SERVER)
  -t, --token TOKEN     operator's token (default: $ROBINRUN_TOKEN)
  -f, --file FILE       resources to apply
  -o, --output FORM     table, json or yaml (default: table)
  -v, --version-match N change only this version (default: the present one)
  -n, --dry-run         check, change nothing
  -h, --help            print this
  -V, --version         print the version

Exit status: 0 done, 1 refused or not reachable, 2 bad command line or file.
)";

struct Options {
    std::string server;
    std::string token;
    std::string file;
    std::string output = "table";
    std::string version;
    bool isDryRun = false;
    std::vector<std::string> words;
};

std::string fromEnvironment(const char* name)
{
    const char* value = std::getenv(name);
    return value ? value : "";
}

int fail(const std::string& message, int status = EXIT_FAILURE)
{
    std::cerr << "robinrunctl: " << message << "\n";
    return status;
}

/// \returns the reply's body if all is well; else prints why not.
std::optional<HttpReply> show(const Result<HttpReply, HttpError>& reply, const Options& options)
{
    if (!reply) {
        fail(options.server + ": " + std::string(nameOf(reply.error().kind)));
        return std::nullopt;
    }
    if (reply.value().status >= firstError) {
        fail("status " + std::to_string(reply.value().status) + ": " + reply.value().body);
        return std::nullopt;
    }
    return reply.value();
}

std::string summaryOf(const YAML::Node& item)
{
    std::ostringstream out;
    if (const auto it = item["service"])
        out << "deadline=" << it["deadline_ms"] << "ms classes=" << it["classes"].size();
    else if (const auto upstream = item["upstream"])
        out << upstream["service"] << " at " << upstream["address"] << " in " << upstream["data_hall"]
            << " slots=" << upstream["slots"] << (upstream["leaving"].as<bool>(false) ? " leaving" : "");
    else if (const auto group = item["group"])
        out << "shares=" << group["shares"].size();
    return out.str();
}

void printTable(const YAML::Node& items)
{
    std::cout << std::left << std::setw(34) << "NAME" << std::setw(10) << "VERSION"
              << "WHAT\n";
    for (const auto& it : items)
        std::cout << std::setw(34) << it["name"].as<std::string>() << std::setw(10)
                  << it["version"].as<std::string>() << summaryOf(it) << "\n";
}

void print(const std::string& json, const Options& options)
{
    if (options.output == "json") {
        std::cout << json;
        return;
    }
    const auto node = YAML::Load(json);
    if (options.output == "table" && node["items"])
        return printTable(node["items"]);
    YAML::Emitter out;
    out.SetMapFormat(YAML::Block);
    out.SetSeqFormat(YAML::Block);
    std::function<void(const YAML::Node&)> emit = [&](const YAML::Node& it) {
        if (it.IsMap()) {
            out << YAML::BeginMap;
            for (const auto& field : it) {
                out << YAML::Key << field.first.Scalar() << YAML::Value;
                emit(field.second);
            }
            out << YAML::EndMap;
        } else if (it.IsSequence()) {
            out << YAML::BeginSeq;
            for (const auto& element : it)
                emit(element);
            out << YAML::EndSeq;
        } else {
            out << it.Scalar();
        }
    };
    emit(node);
    std::cout << out.c_str() << "\n";
}

int get(OperatorClient& client, const Options& options)
{
    const auto reply = show(client.ask("GET", "/v1/" + options.words[1]), options);
    if (!reply)
        return EXIT_FAILURE;
    print(reply->body, options);
    return EXIT_SUCCESS;
}

/// \brief One document of a file to apply.
struct Document {
    proto::Resource resource;
    int line = 0;
};

/// \brief Reads the whole file before anything is changed. \returns whether it is good.
bool readDocuments(const std::string& file, std::vector<Document>& out)
{
    bool isGood = true;
    const auto complain = [&](int line, const std::string& message) {
        std::cerr << file << ":" << line << ": " << message << "\n";
        isGood = false;
    };
    try {
        for (const auto& node : YAML::LoadAllFromFile(file)) {
            if (node.IsNull())
                continue;
            Document document;
            document.line = node.Mark().line + 1;
            std::ostringstream text;
            text << node;
            const auto fault = fromText(text.str(), document.resource);
            if (!fault.empty()) {
                complain(document.line, fault);
                continue;
            }
            for (const auto& it : validate(document.resource))
                complain(document.line, it.text());
            out.push_back(std::move(document));
        }
    } catch (const YAML::BadFile&) {
        complain(0, "can't be read");
    } catch (const YAML::Exception& ex) {
        complain(ex.mark.line + 1, ex.msg);
    }
    return isGood;
}

/// \returns the resource as it is now; nothing if there is none.
std::optional<proto::Resource> present(
    OperatorClient& client, const std::string& name, const Options& options, bool& isBad)
{
    const auto reply = client.ask("GET", "/v1/" + name);
    if (reply.has_value() && reply.value().status == notFound)
        return std::nullopt;
    const auto shown = show(reply, options);
    proto::Resource resource;
    isBad = !shown || !google::protobuf::util::JsonStringToMessage(shown->body, &resource).ok();
    return resource;
}

int applyOne(OperatorClient& client, const proto::Resource& wanted, const Options& options)
{
    bool isBad = false;
    const auto now = present(client, wanted.name(), options, isBad);
    if (isBad)
        return EXIT_FAILURE;
    if (now) {
        auto same = *now;
        same.set_version(wanted.version());
        if (google::protobuf::util::MessageDifferencer::Equals(same, wanted)) {
            std::cout << wanted.name() << " unchanged\n";
            return EXIT_SUCCESS;
        }
    }
    auto version = options.version;
    if (version.empty() && wanted.version())
        version = std::to_string(wanted.version());
    if (version.empty())
        version = now ? std::to_string(now->version()) : "*";
    auto body = wanted;
    body.clear_version();
    const auto path = "/v1/" + wanted.name() + (options.isDryRun ? "?dry_run=true" : "");
    const auto reply = show(client.ask("PUT", path, toJson(body), version), options);
    if (!reply)
        return EXIT_FAILURE;
    const char* did = options.isDryRun ? " would change"
        : reply->status == accepted    ? " undecided yet"
                                       : " applied";
    std::cout << wanted.name() << did << " " << reply->body;
    return EXIT_SUCCESS;
}

int apply(OperatorClient& client, const Options& options)
{
    if (options.file.empty())
        return fail("apply needs -f FILE", badUsage);
    std::vector<Document> documents;
    if (!readDocuments(options.file, documents))
        return badUsage;
    int status = EXIT_SUCCESS;
    for (const auto& it : documents)
        status = std::max(status, applyOne(client, it.resource, options));
    return status;
}

int remove(OperatorClient& client, const Options& options)
{
    bool isBad = false;
    const auto now = present(client, options.words[1], options, isBad);
    if (!now)
        return fail("no such resource: " + options.words[1]);
    const auto version = options.version.empty() ? std::to_string(now->version()) : options.version;
    const auto path = "/v1/" + options.words[1] + (options.isDryRun ? "?dry_run=true" : "");
    if (isBad || !show(client.ask("DELETE", path, "", version), options))
        return EXIT_FAILURE;
    std::cout << options.words[1] << (options.isDryRun ? " would be deleted\n" : " deleted\n");
    return EXIT_SUCCESS;
}

int status(OperatorClient& client, const Options& options)
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

int watch(OperatorClient& client, const Options& options)
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

/// \returns an exit status, or -1 to go on.
int parse(int argc, char** argv, Options& out)
{
    static const option options[] = { { "server", required_argument, nullptr, 's' },
        { "token", required_argument, nullptr, 't' }, { "file", required_argument, nullptr, 'f' },
        { "output", required_argument, nullptr, 'o' }, { "version-match", required_argument, nullptr, 'v' },
        { "dry-run", no_argument, nullptr, 'n' }, { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'V' }, { nullptr, 0, nullptr, 0 } };
    out.server = fromEnvironment("ROBINRUN_SERVER");
    out.token = fromEnvironment("ROBINRUN_TOKEN");
    int c = 0;
    while ((c = getopt_long(argc, argv, "s:t:f:o:v:nhV", options, nullptr)) != -1) {
        switch (c) {
        case 's':
            out.server = optarg;
            break;
        case 't':
            out.token = optarg;
            break;
        case 'f':
            out.file = optarg;
            break;
        case 'o':
            out.output = optarg;
            break;
        case 'v':
            out.version = optarg;
            break;
        case 'n':
            out.isDryRun = true;
            break;
        case 'h':
            std::cout << usage;
            return EXIT_SUCCESS;
        case 'V':
            std::cout << "robinrunctl 0.1.0\n";
            return EXIT_SUCCESS;
        default:
            std::cerr << usage;
            return badUsage;
        }
    }
    out.words.assign(argv + optind, argv + argc);
    if (out.output != "table" && out.output != "json" && out.output != "yaml")
        return fail("--output: '" + out.output + "' is not one of table, json, yaml", badUsage);
    const bool needsServer = out.words.empty() || out.words[0] != "explain";
    if (needsServer && !isAddress(out.server))
        return fail("--server: '" + out.server + "' is not an IPv4 address and port", badUsage);
    return -1;
}

int explainRequest(const Options& options)
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

int run(const Options& options)
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
    std::cerr << usage;
    return badUsage;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        Options options;
        const int status = parse(argc, argv, options);
        return status >= 0 ? status : run(options);
    } catch (const std::exception& ex) {
        return fail(ex.what());
    }
}
