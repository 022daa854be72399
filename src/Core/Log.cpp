#include "Core/Log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace robinrun {
namespace {

    namespace bl = boost::log;

    struct LogState {
        LogLevel level = LogLevel::Warning;
        LogFormat format = LogFormat::Text;
        std::string source;
        bl::sources::logger logger;
    };

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

    std::string timestamp()
    {
        using namespace std::chrono;
        const auto now = system_clock::now();
        const auto seconds = system_clock::to_time_t(now);
        const auto ms = duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000;
        std::tm tm {};
        gmtime_r(&seconds, &tm);
        std::ostringstream out;
        out << std::put_time(&tm, "%FT%T") << '.' << std::setw(3) << std::setfill('0') << ms << 'Z';
        return out.str();
    }

    std::string asJson(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
    {
        std::ostringstream out;
        out << R"({"time":")" << timestamp() << R"(","level":")" << nameOf(level) << R"(","source":")"
            << escapeJson(state().source) << R"(","event":")" << escapeJson(event) << '"';
        for (const auto& it : fields) {
            out << ",\"" << it.key << "\":";
            std::visit(FieldWriter { out, true }, it.value);
        }
        out << '}';
        return out.str();
    }

    std::string asText(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
    {
        std::ostringstream out;
        out << timestamp() << ' ' << nameOf(level) << ' ' << state().source << ' ' << event;
        for (const auto& it : fields) {
            out << ' ' << it.key << '=';
            std::visit(FieldWriter { out, false }, it.value);
        }
        return out.str();
    }

} // namespace

void startLog(LogLevel level, LogFormat format, std::string_view source)
{
    state().level = level;
    state().format = format;
    state().source = source;
    using Sink = bl::sinks::synchronous_sink<bl::sinks::text_ostream_backend>;
    auto backend = boost::make_shared<bl::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    bl::core::get()->remove_all_sinks();
    bl::core::get()->add_sink(boost::make_shared<Sink>(backend));
}

void setLogLevel(LogLevel level)
{
    state().level = level;
}

bool logs(LogLevel level)
{
    return level >= state().level;
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!logs(level))
        return;
    const bool isJson = state().format == LogFormat::Json;
    BOOST_LOG(state().logger) << (isJson ? asJson(level, event, fields) : asText(level, event, fields));
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
