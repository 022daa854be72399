#include "Core/Log.h"

#include "Core/Time.h"
#include "Core/TokenBucket.h"
#include "Core/internal/BoundedSink.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <iomanip>
#include <optional>
#include <sstream>
#include <unistd.h>

namespace robinrun {
namespace {

    namespace bl = boost::log;

    using Sink = bl::sinks::synchronous_sink<internal::BoundedSink>;

    struct LogState {
        LogOptions options { LogLevel::Warning, LogFormat::Text, {}, 0, false, STDOUT_FILENO };
        bl::sources::logger logger;
        boost::shared_ptr<Sink> sink;
        std::optional<TokenBucket> budget;
        std::uint64_t overBudget = 0;
        std::uint64_t reported = 0;
    };

    /// Errors may overdraw the bound by this many lines, so that they are dropped last.
    constexpr double errorCredit = 100;

    LogState& state()
    {
        static LogState s;
        return s;
    }

    struct FieldWriter {
        std::ostream& out;
        bool isJson;

        void operator()(std::string_view v) const
        {
            if (isJson)
                out << '"' << escapeJson(v) << '"';
            else
                out << v;
        }
        void operator()(bool v) const { out << (v ? "true" : "false"); }
        template <class T> void operator()(T v) const { out << v; }
    };

    std::string timestamp(std::chrono::system_clock::time_point now)
    {
        using namespace std::chrono;
        const auto seconds = system_clock::to_time_t(now);
        const auto ms = duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000;
        std::tm tm {};
        gmtime_r(&seconds, &tm);
        std::ostringstream out;
        out << std::put_time(&tm, "%FT%T") << '.' << std::setw(3) << std::setfill('0') << ms << 'Z';
        return out.str();
    }

    std::string asJson(std::chrono::system_clock::time_point at, LogLevel level, std::string_view event,
        std::span<const LogField> fields)
    {
        std::ostringstream out;
        out << R"({"time":")" << timestamp(at) << R"(","level":")" << nameOf(level) << R"(","source":")"
            << escapeJson(state().options.source) << R"(","event":")" << escapeJson(event) << '"';
        for (const auto& it : fields) {
            out << ",\"" << it.key << "\":";
            std::visit(FieldWriter { out, true }, it.value);
        }
        out << '}';
        return out.str();
    }

    std::string asText(std::chrono::system_clock::time_point at, LogLevel level, std::string_view event,
        std::span<const LogField> fields)
    {
        std::ostringstream out;
        out << timestamp(at) << ' ' << nameOf(level) << ' ' << state().options.source << ' ' << event;
        for (const auto& it : fields) {
            out << ' ' << it.key << '=';
            std::visit(FieldWriter { out, false }, it.value);
        }
        return out.str();
    }

    void startBudget()
    {
        state().budget.reset();
        const auto perSecond = state().options.linesPerSecond;
        if (perSecond > 0)
            state().budget.emplace(perSecond, perSecond, perSecond, monotonicNow());
    }

    bool isInBudget(LogLevel level)
    {
        auto& budget = state().budget;
        if (!budget)
            return true;
        const auto now = monotonicNow();
        if (budget->tryTake(1, now))
            return true;
        if (level < LogLevel::Error || budget->available(now) < -errorCredit)
            return false;
        budget->takeAnyway(1, now);
        return true;
    }

} // namespace

void startLog(const LogOptions& options)
{
    state().options = options;
    startBudget();
    bl::core::get()->remove_all_sinks();
    state().sink
        = boost::make_shared<Sink>(boost::make_shared<internal::BoundedSink>(options.fd, options.isBuffered));
    bl::core::get()->add_sink(state().sink);
}

void changeLog(LogLevel level, LogFormat format, double linesPerSecond)
{
    auto& options = state().options;
    options.level = level;
    options.format = format;
    if (options.linesPerSecond == linesPerSecond)
        return;
    options.linesPerSecond = linesPerSecond;
    startBudget();
}

bool logs(LogLevel level)
{
    return level >= state().options.level;
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    logAt(std::chrono::system_clock::now(), level, event, { fields.begin(), fields.size() });
}

void logAt(std::chrono::system_clock::time_point at, LogLevel level, std::string_view event,
    std::span<const LogField> fields)
{
    if (!logs(level))
        return;
    if (!isInBudget(level)) {
        ++state().overBudget;
        return;
    }
    const bool isJson = state().options.format == LogFormat::Json;
    BOOST_LOG(state().logger) << (isJson ? asJson(at, level, event, fields)
                                         : asText(at, level, event, fields));
}

void flushLog()
{
    const auto dropped = droppedLogLines();
    if (dropped > state().reported) {
        log(LogLevel::Error, "lines-dropped",
            { { "lines", dropped - state().reported }, { "over_bound", state().overBudget } });
        state().reported = dropped;
    }
    if (state().sink)
        state().sink->locked_backend()->flush();
}

std::uint64_t droppedLogLines()
{
    const auto unread = state().sink ? state().sink->locked_backend()->dropped() : 0;
    return state().overBudget + unread;
}

std::string escapeJson(std::string_view s)
{
    std::string out;
    out.reserve(s.size() + 2);
    for (const char c : s) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            std::array<char, 8> buf {};
            std::snprintf(buf.data(), buf.size(), "\\u%04x", static_cast<unsigned>(c));
            out += buf.data();
        } else {
            out += c;
        }
    }
    return out;
}

} // namespace robinrun
