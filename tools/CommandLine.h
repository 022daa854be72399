#pragma once

/// \file What the programs of a node have in common: command line, settings, signals, the run of the loop.

#include "Chart/Charts.h"
#include "Core/Log.h"
#include "Node/Timer.h"
#include "Settings/NodeSettings.h"

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <event2/event.h>
#include <filesystem>
#include <functional>
#include <getopt.h>
#include <google/protobuf/stubs/logging.h>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace robinrun::tools {

/// Exit status for a bad command line or bad settings.
inline constexpr int badUsage = 2;

/// \brief What a node was asked to do.
struct CommandLine {
    std::string settings; ///< path of the settings file
    bool isCheck = false; ///< check the settings and charts only
    int exitStatus = -1; ///< set when there is nothing more to do
};

/// \brief Reads the options that all nodes take; prints the help, the version or what is wrong.
/// \param program its name, for messages.
inline CommandLine parseCommandLine(int argc, char** argv, const std::string& program)
{
    const std::string usage = "usage: " + program + R"( --settings FILE [--check-settings]

  -s, --settings FILE   settings of this node (YAML; see docs/OPERATING.md)
  -c, --check-settings  check the settings and charts, start nothing
  -h, --help            print this
  -V, --version         print the version

Signals: SIGTERM and SIGINT drain, then end with status 0; SIGHUP reads the settings again.
Exit status: 0 stopped in order, 1 could not start, 2 bad command line or settings.
)";
    static const option options[] = { { "settings", required_argument, nullptr, 's' },
        { "check-settings", no_argument, nullptr, 'c' }, { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'V' }, { nullptr, 0, nullptr, 0 } };
    CommandLine line;
    const auto end = [&](int status) {
        line.exitStatus = status;
        return line;
    };
    int c = 0;
    while ((c = getopt_long(argc, argv, "s:chV", options, nullptr)) != -1) {
        switch (c) {
        case 's':
            line.settings = optarg;
            break;
        case 'c':
            line.isCheck = true;
            break;
        case 'h':
            std::cout << usage;
            return end(0);
        case 'V':
            std::cout << program << " 0.1.0\n";
            return end(0);
        default:
            std::cerr << usage;
            return end(badUsage);
        }
    }
    if (!line.settings.empty() && optind >= argc)
        return line;
    std::cerr << (optind < argc ? "unexpected argument: " + std::string(argv[optind])
                                : "--settings is missing")
              << "\n"
              << usage;
    return end(badUsage);
}

/// \returns a number that differs from that of every earlier start of the node.
inline std::uint64_t makeIncarnation()
{
    using namespace std::chrono;
    return static_cast<std::uint64_t>(
        duration_cast<microseconds>(system_clock::now().time_since_epoch()).count());
}

/// \returns how a node logs: buffered, since its loop flushes.
inline LogOptions logOptions(const NodeSettings& settings)
{
    return { settings.log.level, settings.log.format, settings.name, settings.log.linesPerSecond, true };
}

/// \brief Lets the allocator give large blocks back to the system as soon as they are freed. By itself it
/// comes to keep those of up to 32 MiB, and bodies of requests are as large.
inline void keepLargeBlocksApart()
{
    constexpr int largeBlock = 1 << 20; // bytes
    constexpr int keptFree = 4 << 20; // bytes at the end of the heap
    mallopt(M_MMAP_THRESHOLD, largeBlock);
    mallopt(M_TRIM_THRESHOLD, keptFree);
}

/// \brief Starts a node from settings and charts that are good, and runs it to its end.
/// \param file of the settings, to read them again. \returns the exit status.
using RunNode = std::function<int(const std::string& file, NodeSettings settings, Charts charts)>;

/// \brief Reads the command line, the settings and the charts; what is wrong with them goes to standard
/// error. \a run is called if all is good and more than a check was asked for. \returns the exit status.
inline int loadAndRun(int argc, char** argv, const std::string& program, const RunNode& run)
{
    const auto line = parseCommandLine(argc, argv, program);
    if (line.exitStatus >= 0)
        return line.exitStatus;
    auto settings = NodeSettings::load(line.settings);
    if (!settings) {
        for (const auto& it : settings.error())
            std::cerr << it.text() << "\n";
        return badUsage;
    }
    auto charts = Charts::load(settings.value().chartsFolder);
    if (!charts) {
        std::cerr << charts.error().text() << "\n";
        return badUsage;
    }
    if (line.isCheck) {
        std::cout << "settings and charts are good\n";
        return EXIT_SUCCESS;
    }
    keepLargeBlocksApart();
    return run(line.settings, std::move(settings.value()), std::move(charts.value()));
}

/// \brief The `main` of a node: loadAndRun(), with exceptions told on standard error.
inline int nodeMain(int argc, char** argv, const std::string& program, const RunNode& run)
{
    try {
        return loadAndRun(argc, argv, program, run);
    } catch (const std::exception& ex) {
        std::cerr << program << ": " << ex.what() << "\n";
        return EXIT_FAILURE;
    }
}

/// \brief Starts the log, and says in it which mechanisms are switched off.
inline void startNodeLog(const NodeSettings& settings)
{
    startLog(logOptions(settings));
    // What can't be read is counted and logged where it is read. The library's own lines are not bounded, and
    // no JSON: any writer of the store could fill the log with them.
    google::protobuf::SetLogHandler(nullptr);
    for (std::size_t i = 0; i < countOf<Mechanism>(); ++i) {
        const auto mechanism = static_cast<Mechanism>(i);
        if (!settings.experiments.isOn(mechanism))
            log(LogLevel::Warning, "mechanism-off", { { "mechanism", nameOf(mechanism) } });
    }
}

/// \brief Runs the loop of a node that has started until something ends it. \returns the exit status.
inline int runLoop(event_base* base, std::uint64_t incarnation)
{
    log(LogLevel::Info, "started", { { "incarnation", incarnation } });
    event_base_dispatch(base);
    log(LogLevel::Info, "stopped");
    flushLog();
    return EXIT_SUCCESS;
}

/// \brief Handlers of signals on a loop, while it lives. SIGTERM and SIGINT stop, SIGHUP reloads, SIGPIPE is
/// ignored.
class Signals {
public:
    Signals(event_base* base, std::function<void()> stop, std::function<void()> reload)
        : m_stop(std::move(stop))
        , m_reload(std::move(reload))
    {
        std::signal(SIGPIPE, SIG_IGN);
        watch(base, SIGTERM, &m_stop);
        watch(base, SIGINT, &m_stop);
        watch(base, SIGHUP, &m_reload);
    }
    ~Signals() = default;
    Signals(const Signals&) = delete;
    Signals& operator=(const Signals&) = delete;

private:
    using EventPtr = std::unique_ptr<event, decltype(&event_free)>;

    void watch(event_base* base, int signal, std::function<void()>* f)
    {
        const auto run
            = [](evutil_socket_t, short, void* arg) { (*static_cast<std::function<void()>*>(arg))(); };
        m_events.emplace_back(evsignal_new(base, signal, run, f), &event_free);
        event_add(m_events.back().get(), nullptr);
    }

    std::function<void()> m_stop;
    std::function<void()> m_reload;
    std::vector<EventPtr> m_events;
};

/// \brief Reads the settings anew. Bad ones are logged, field by field, and \a apply does not run: the old
/// ones stay in force.
inline void reloadSettings(const std::string& file, const std::function<void(const NodeSettings&)>& apply)
{
    const auto settings = NodeSettings::load(file);
    if (!settings) {
        for (const auto& it : settings.error())
            log(LogLevel::Error, "reload-refused", { { "field", it.field }, { "error", it.text() } });
        return;
    }
    const auto& logging = settings.value().log;
    changeLog(logging.level, logging.format, logging.linesPerSecond);
    apply(settings.value());
    log(LogLevel::Info, "reloaded", { { "file", file } });
}

/// \brief Calls \a changed when a file has another time of change than before; looks once in \a interval.
class FileWatch {
public:
    FileWatch(event_base* base, std::string file, Duration interval, std::function<void()> changed)
        : m_file(std::move(file))
        , m_changed(std::move(changed))
        , m_last(timeOf(m_file))
        , m_timer(Timer::repeating(base, interval, [this] { look(); }))
    {
    }
    ~FileWatch() = default;
    FileWatch(const FileWatch&) = delete;
    FileWatch& operator=(const FileWatch&) = delete;

private:
    using FileTime = std::filesystem::file_time_type;

    static FileTime timeOf(const std::string& file)
    {
        std::error_code ec;
        const auto time = std::filesystem::last_write_time(file, ec);
        return ec ? FileTime::min() : time; // gone for a moment, as while it is replaced
    }

    void look()
    {
        const auto time = timeOf(m_file);
        if (time == m_last || time == FileTime::min())
            return;
        m_last = time;
        m_changed();
    }

    std::string m_file;
    std::function<void()> m_changed;
    FileTime m_last;
    Timer m_timer;
};

} // namespace robinrun::tools
