#include "Client/Explain.h"

#include "Client/LogLine.h"
#include "Core/LogEvents.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>
#include <utility>

namespace robinrun {
namespace {

    /// The span of one attempt by the clock of the ingress.
    struct Span {
        std::int64_t begin = 0;
        std::int64_t end = 0;
    };

    std::map<std::uint64_t, Span> spansOf(const std::vector<LogLine>& lines)
    {
        std::map<std::uint64_t, Span> spans;
        std::int64_t last = 0;
        for (const auto& it : lines) {
            if (it.from.empty())
                last = std::max(last, it.atMs);
        }
        for (const auto& it : lines) {
            if (it.from.empty() && it.event == "upstream-chosen")
                spans[it.attempt] = { it.atMs, last };
        }
        for (const auto& it : lines) {
            const auto span = spans.find(it.attempt);
            if (it.from.empty() && it.event == "owner-refused" && span != spans.end())
                span->second.end = it.atMs;
        }
        return spans;
    }

    /// \brief Moves an owner's lines of one attempt into its span, all by the same difference. \returns it.
    std::int64_t shiftInto(const Span& span, std::vector<LogLine*>& lines)
    {
        std::int64_t first = lines.front()->atMs;
        std::int64_t last = first;
        for (const auto* it : lines) {
            first = std::min(first, it->atMs);
            last = std::max(last, it->atMs);
        }
        std::int64_t shift = 0;
        if (first < span.begin)
            shift = span.begin - first;
        else if (last > span.end)
            shift = std::max(span.begin - first, span.end - last);
        for (auto* it : lines)
            it->atMs += shift;
        return shift;
    }

    void writeLine(std::ostream& out, const LogLine& line, std::int64_t origin)
    {
        out << std::setw(7) << line.atMs - origin << " ms  " << std::left << std::setw(22) << line.node << ' '
            << std::setw(16) << line.event << std::right;
        if (line.attempt)
            out << " attempt " << line.attempt;
        for (const auto& [name, value] : line.fields.items())
            out << "  " << name << '=' << (value.is_string() ? value.get<std::string>() : value.dump());
        if (const auto* info = findLogEvent(line.event))
            out << "  (" << info->meaning << ")";
        out << '\n';
    }

    std::vector<LogLine> linesOf(const std::string& request, const std::vector<std::string>& logs)
    {
        std::vector<LogLine> lines;
        for (const auto& log : logs) {
            eachLine(log, [&](const std::string& text) {
                if (text.find(request) == std::string::npos)
                    return;
                if (auto line = parseLogLine(text); line && line->request == request)
                    lines.push_back(std::move(*line));
            });
        }
        return lines;
    }

    /// \brief Moves the lines of each owner into the spans of their attempts; writes to \a out how far.
    void alignOwners(std::vector<LogLine>& lines, std::ostream& out)
    {
        const auto spans = spansOf(lines);
        std::map<std::pair<std::uint64_t, std::string>, std::vector<LogLine*>> ofOwners;
        for (auto& it : lines) {
            if (!it.from.empty())
                ofOwners[{ it.attempt, it.node }].push_back(&it);
        }
        for (auto& [key, owned] : ofOwners) {
            const auto span = spans.find(key.first);
            const auto shift = span == spans.end() ? 0 : shiftInto(span->second, owned);
            if (shift)
                out << "clock of " << key.second << " moved by " << shift << " ms\n";
        }
    }

} // namespace

Result<std::string, ExplainError> explain(const std::string& request, const std::vector<std::string>& logs)
{
    auto lines = linesOf(request, logs);
    if (lines.empty())
        return failure(ExplainError { "no line of request " + request
            + ": it went well and is not in the sample, or its nodes' logs are not among these" });
    std::ostringstream out;
    alignOwners(lines, out);
    std::stable_sort(
        lines.begin(), lines.end(), [](const LogLine& a, const LogLine& b) { return a.atMs < b.atMs; });
    for (const auto& it : lines)
        writeLine(out, it, lines.front().atMs);
    return out.str();
}

} // namespace robinrun
