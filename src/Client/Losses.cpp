#include "Client/Losses.h"

#include "Client/LogLine.h"
#include "Queueing/Refusal.h"
#include "Queueing/Slowdown.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <map>
#include <optional>
#include <sstream>
#include <tuple>
#include <unordered_map>

namespace robinrun {
namespace {

    constexpr std::int64_t firstServerError = 500;
    constexpr std::int64_t msPerSecond = 1000;
    constexpr double percent = 100;

    /// What the lines of one request tell.
    struct Story {
        std::string route;
        bool isNested = false;
        std::int64_t targetMs = 0;
        std::optional<LogLine> end;
        std::string upstream; ///< the last one chosen
        std::int64_t queuedMs = 0; ///< of the attempt that was answered
        double slowdown = 1; ///< at its arrival there
    };

    bool isEnd(const LogLine& line)
    {
        return line.event == "request-answered" || line.event == "request-refused"
            || line.event == "request-unknown" || line.event == "caller-gone";
    }

    void take(Story& story, const LogLine& line)
    {
        if (line.event == "route-chosen") {
            story.route = line.text("target");
            story.isNested = line.number("nested") != 0;
            story.targetMs = line.number("target_ms");
        } else if (line.event == "upstream-chosen") {
            story.upstream = line.text("upstream");
        } else if (line.event == "queued") {
            story.slowdown = static_cast<double>(line.number("slowdown_percent")) / percent;
        } else if (line.event == "backend-answered") {
            story.queuedMs = line.number("queued_ms");
        } else if (isEnd(line)) {
            story.end = line;
        }
    }

    LossCause causeOfRefusal(const std::string& reason)
    {
        const auto is = [&](Reason it) { return reason == nameOf(it); };
        if (is(Reason::WouldMissDeadline) || is(Reason::DeadlinePassed))
            return LossCause::Hopeless;
        if (is(Reason::ServerLimit))
            return LossCause::ServerLimit;
        if (is(Reason::CrashesServers))
            return LossCause::HeldBack;
        if (is(Reason::NotReady) || is(Reason::Leaving))
            return LossCause::NotReady;
        if (is(Reason::NoUpstream) || is(Reason::BackendUnreachable) || is(Reason::WrongOwner)
            || is(Reason::WrongIncarnation) || is(Reason::OwnerLost) || is(Reason::BackendRefused))
            return LossCause::NoUpstream;
        return LossCause::NoRoom;
    }

    LossCause causeOfLateness(const Story& story)
    {
        const auto& end = *story.end;
        if (end.number("upstreams_tried") > 1)
            return LossCause::LateSecondAttempt;
        const auto excess = end.number("total_ms") - story.targetMs;
        if (2 * story.queuedMs > excess)
            return LossCause::LateWaited;
        return isSlow(story.slowdown) ? LossCause::LateSlowServer : LossCause::LateWork;
    }

    /// \returns nothing for a call that was answered in time.
    std::optional<LossCause> causeOf(const Story& story)
    {
        const auto& end = *story.end;
        if (end.event == "caller-gone")
            return LossCause::CallerLeft;
        if (end.event == "request-refused")
            return causeOfRefusal(end.text("reason"));
        if (end.event == "request-unknown")
            return end.text("reason") == nameOf(Reason::DeadlinePassed) ? LossCause::OutOfTime
                                                                        : LossCause::CutOff;
        if (end.number("status") >= firstServerError)
            return end.number("left_ms") <= 0 ? LossCause::OutOfTime : LossCause::ServerFailed;
        if (end.number("late"))
            return causeOfLateness(story);
        return std::nullopt;
    }

    using Stories = std::unordered_map<std::string, Story>;

    /// \returns how many lines \a log has.
    std::size_t read(const std::string& log, Stories& stories)
    {
        std::size_t lines = 0;
        eachLine(log, [&](const std::string& text) {
            const auto line = parseLogLine(text);
            if (!line)
                return;
            ++lines;
            if (!line->request.empty())
                take(stories[line->request], *line);
        });
        return lines;
    }

    /// Losses of one kind, while they are counted.
    struct Count {
        Loss loss;
        std::map<std::int64_t, std::uint64_t> bySecond;
        std::map<std::string, std::uint64_t> byUpstream;
    };

    template <class Map> auto mostOf(const Map& counts)
    {
        return std::max_element(
            counts.begin(), counts.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    }

    Loss summaryOf(const Count& count)
    {
        auto out = count.loss;
        const auto worst = mostOf(count.bySecond);
        out.worstSecondMs = worst->first * msPerSecond;
        out.inWorstSecond = worst->second;
        out.upstream = mostOf(count.byUpstream)->first;
        return out;
    }

    std::string clockTime(std::int64_t atMs)
    {
        const std::time_t seconds = atMs / msPerSecond;
        std::tm tm {};
        gmtime_r(&seconds, &tm);
        std::ostringstream out;
        out << std::put_time(&tm, "%H:%M:%S");
        return out.str();
    }

} // namespace

Result<std::vector<Loss>, LossesError> findLosses(const std::vector<std::string>& logs, const LossSpan& span)
{
    Stories stories;
    for (std::size_t i = 0; i < logs.size(); ++i) {
        if (!read(logs[i], stories))
            return failure(LossesError { "there is no line of a node's log in it", i });
    }
    std::map<std::tuple<LossCause, std::string, bool>, Count> counts;
    for (const auto& [id, story] : stories) {
        if (!story.end || story.end->atMs < span.beginMs || story.end->atMs >= span.endMs)
            continue;
        const auto cause = causeOf(story);
        if (!cause)
            continue;
        auto& count = counts[{ *cause, story.route, story.isNested }];
        auto& loss = count.loss;
        loss.cause = *cause;
        loss.route = story.route;
        loss.isNested = story.isNested;
        ++loss.calls;
        // The least id, so that the same logs give the same table.
        loss.example = loss.example.empty() ? id : std::min(loss.example, id);
        ++count.bySecond[story.end->atMs / msPerSecond];
        ++count.byUpstream[story.upstream];
    }
    std::vector<Loss> out;
    out.reserve(counts.size());
    for (const auto& [key, count] : counts)
        out.push_back(summaryOf(count));
    std::stable_sort(out.begin(), out.end(), [](const Loss& a, const Loss& b) { return a.calls > b.calls; });
    return out;
}

std::string showLosses(const std::vector<Loss>& losses)
{
    std::ostringstream out;
    out << std::left << std::setw(24) << "CAUSE" << std::setw(28) << "ROUTE SERVICE" << std::right
        << std::setw(7) << "CALLS"
        << "  " << std::left << std::setw(18) << "WORST SECOND" << std::setw(16) << "MOST AT"
        << "EXAMPLE\n";
    for (const auto& it : losses) {
        const auto worst = clockTime(it.worstSecondMs) + " (" + std::to_string(it.inWorstSecond) + ")";
        out << std::left << std::setw(24) << nameOf(it.cause) << std::setw(28)
            << (it.route + (it.isNested ? " (nested)" : "")) << std::right << std::setw(7) << it.calls << "  "
            << std::left << std::setw(18) << worst << std::setw(16)
            << (it.upstream.empty() ? "-" : it.upstream) << it.example << '\n';
    }
    return out.str();
}

} // namespace robinrun
