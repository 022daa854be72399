#include "ctl/CtlOptions.h"

#include "Config/Validator.h"

#include <cstdlib>
#include <getopt.h>
#include <iostream>

namespace robinrun::ctl {
namespace {

    constexpr const char* usage = R"(usage: robinrunctl [options] COMMAND

commands:
  get KIND | KIND/ID    show resources (services, upstreams, groups, routes, halls)
  apply -f FILE         create or change the resources of a YAML file
  delete KIND/ID        delete a resource
  empty HALL            send nothing more to the backend servers of a data hall
  take-back HALL        send to them again
  status                what is in force, and which nodes are behind
  watch [FROM]          print changes as they come into force
  explain ID LOG...     tell from nodes' logs what became of the request ID
  held LOG...           tell from nodes' logs which requests are held back, and the crashes under them
  halls LOG...          tell from nodes' logs which data halls are emptied, who has heard it and since when
  losses LOG...         tell from nodes' logs where and why calls were lost
  least-served FILE...  tell from nodes' metrics, a file for each node, which calling group, host and kind of call is
                        served least, and why

options:
  -s, --server IP:PORT  operator port of any node (default: $ROBINRUN_SERVER)
  -t, --token TOKEN     operator's token (default: $ROBINRUN_TOKEN)
  -f, --file FILE       resources to apply
  -o, --output FORM     table, json or yaml (default: table)
  -v, --version-match N change only this version (default: the present one)
  -n, --dry-run         check, change nothing
  -b, --begin TIME      losses: of calls that ended from then on (2026-12-02T10:11:12.000Z)
  -e, --end TIME        losses: of calls that ended before
  -h, --help            print this
  -V, --version         print the version

Exit status: 0 done, 1 refused or not reachable, 2 bad command line or file.
)";

    std::string fromEnvironment(const char* name)
    {
        const char* value = std::getenv(name);
        return value ? value : "";
    }

} // namespace

void printUsage(std::ostream& out)
{
    out << usage;
}

int fail(const std::string& message, int status)
{
    std::cerr << "robinrunctl: " << message << "\n";
    return status;
}

std::optional<int> parse(int argc, char** argv, CtlOptions& out)
{
    static const option options[] = { { "server", required_argument, nullptr, 's' },
        { "token", required_argument, nullptr, 't' }, { "file", required_argument, nullptr, 'f' },
        { "output", required_argument, nullptr, 'o' }, { "version-match", required_argument, nullptr, 'v' },
        { "begin", required_argument, nullptr, 'b' }, { "end", required_argument, nullptr, 'e' },
        { "dry-run", no_argument, nullptr, 'n' }, { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'V' }, { nullptr, 0, nullptr, 0 } };
    out.server = fromEnvironment("ROBINRUN_SERVER");
    out.token = fromEnvironment("ROBINRUN_TOKEN");
    int c = 0;
    while ((c = getopt_long(argc, argv, "s:t:f:o:v:b:e:nhV", options, nullptr)) != -1) {
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
        case 'b':
            out.begin = optarg;
            break;
        case 'e':
            out.end = optarg;
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
    const auto command = out.words.empty() ? std::string() : out.words[0];
    const bool readsLogs = command == "explain" || command == "losses" || command == "least-served"
        || command == "held" || command == "halls";
    const bool needsServer = !readsLogs;
    if (needsServer && !isIpv4Endpoint(out.server))
        return fail("--server: '" + out.server + "' is not an IPv4 address and port", badUsage);
    return std::nullopt;
}

} // namespace robinrun::ctl
