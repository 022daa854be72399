#include "Client/LogLine.h"

#include <cstdio>
#include <ctime>
#include <sstream>

namespace robinrun {

std::int64_t LogLine::number(const char* name, std::int64_t otherwise) const
{
    const auto it = fields.find(name);
    return it != fields.end() && it->is_number() ? it->get<std::int64_t>() : otherwise;
}

std::string LogLine::text(const char* name) const
{
    const auto it = fields.find(name);
    return it != fields.end() && it->is_string() ? it->get<std::string>() : std::string();
}

void eachLine(const std::string& log, const std::function<void(const std::string&)>& take)
{
    std::istringstream in(log);
    for (std::string line; std::getline(in, line);)
        take(line);
}

std::optional<std::int64_t> parseLogTime(const std::string& text)
{
    std::tm tm {};
    int ms = 0;
    const int n = std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%d.%dZ", &tm.tm_year, &tm.tm_mon, &tm.tm_mday,
        &tm.tm_hour, &tm.tm_min, &tm.tm_sec, &ms);
    if (n != 7)
        return std::nullopt;
    tm.tm_year -= 1900;
    tm.tm_mon -= 1;
    return std::int64_t { timegm(&tm) } * 1000 + ms;
}

std::optional<LogLine> parseLogLine(const std::string& text)
{
    const auto brace = text.find('{');
    if (brace == std::string::npos)
        return std::nullopt;
    LogLine line;
    line.fields = LogLine::Json::parse(text.substr(brace), nullptr, false);
    if (!line.fields.is_object())
        return std::nullopt;
    line.time = line.text("time");
    const auto at = parseLogTime(line.time);
    if (!at)
        return std::nullopt;
    line.atMs = *at;
    line.node = line.text("source");
    line.event = line.text("event");
    line.request = line.text("request");
    line.attempt = static_cast<std::uint64_t>(line.number("attempt"));
    line.from = line.text("from");
    for (const auto* it : { "time", "level", "source", "event", "request", "attempt", "from" })
        line.fields.erase(it);
    return line;
}

} // namespace robinrun
