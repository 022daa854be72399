#include "Client/HeldRequests.h"

#include "Client/LogLine.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace robinrun {
namespace {

    struct Crash {
        std::string at; ///< time of day as logged
        std::string node;
        std::string upstream;
        std::string suspects; ///< contents, separated by blanks
    };

    struct Held {
        std::int64_t sinceMs = 0;
        std::string since;
        std::string reports; ///< ids, separated by blanks
        std::int64_t retryAfterMs = 0;
        bool isShared = false;
        std::set<std::string> nodes; ///< that hold it back
        std::set<std::string> freedBy;
    };

    /// \returns a field that is no text as it was written: ids need all of 64 bits.
    std::string writtenOf(const LogLine& line, const char* name)
    {
        const auto it = line.fields.find(name);
        return it == line.fields.end() ? "" : it->dump();
    }

    class Evidence {
    public:
        void take(const std::string& text)
        {
            const auto line = parseLogLine(text);
            if (!line)
                return;
            if (line->event == "backend-crashed")
                m_crashes[writtenOf(*line, "report")]
                    = { line->time, line->node, line->text("upstream"), line->text("suspects") };
            if (line->event == "request-held")
                takeHold(*line);
            if (line->event == "request-freed")
                m_held[writtenOf(*line, "content")].freedBy.insert(line->node);
        }

        std::string print() const
        {
            std::ostringstream out;
            for (const auto& [content, held] : m_held)
                print(out, content, held);
            return m_held.empty() ? "nothing is held back\n" : out.str();
        }

    private:
        void takeHold(const LogLine& line)
        {
            auto& held = m_held[writtenOf(line, "content")];
            held.nodes.insert(line.node);
            held.freedBy.erase(line.node);
            if (held.sinceMs && held.sinceMs <= line.atMs)
                return;
            held.sinceMs = line.atMs;
            held.since = line.time;
            held.reports = line.text("reports");
            held.retryAfterMs = line.number("retry_after_ms");
            held.isShared = writtenOf(line, "shared") == "true";
        }

        void print(std::ostringstream& out, const std::string& content, const Held& held) const
        {
            out << "content " << content << ": held back since " << held.since << " by " << held.nodes.size()
                << " nodes, tried again after " << held.retryAfterMs / 1000 << " s";
            if (held.isShared)
                out << ", perhaps for what another one did";
            if (!held.freedBy.empty())
                out << ", freed at " << held.freedBy.size() << " nodes";
            out << "\n";
            std::istringstream reports(held.reports);
            for (std::string report; reports >> report;) {
                const auto crash = m_crashes.find(report);
                out << "  crash " << report;
                if (crash == m_crashes.end())
                    out << ": its node's log is missing";
                else
                    out << ": " << crash->second.at << " " << crash->second.upstream << ", seen by "
                        << crash->second.node << "; ran there: " << crash->second.suspects;
                out << "\n";
            }
        }

        std::map<std::string, Crash> m_crashes; ///< by report
        std::map<std::string, Held> m_held; ///< by content
    };

} // namespace

std::string heldRequests(const std::vector<std::string>& logs)
{
    Evidence evidence;
    for (const auto& log : logs)
        eachLine(log, [&](const std::string& line) { evidence.take(line); });
    return evidence.print();
}

} // namespace robinrun
