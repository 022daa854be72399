#include "Client/EmptiedHallLog.h"

#include "Client/LogLine.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace robinrun {
namespace {

    /// Since when each node holds a hall for emptied, by its name.
    using HeardBy = std::map<std::string, std::string>;

    class HallStory {
    public:
        void take(const std::string& text)
        {
            const auto line = parseLogLine(text);
            if (!line)
                return;
            if (line->event == "hall-emptied")
                m_heard[line->text("hall")].emplace(line->node, line->time);
            if (line->event == "hall-taken-back")
                m_heard[line->text("hall")].erase(line->node);
            // An upstream is drained once the last call that ran there has ended.
            if (line->event == "upstream-life")
                m_life[line->node] = line->text("state");
        }

        std::string print() const
        {
            std::ostringstream out;
            for (const auto& [hall, heard] : m_heard)
                print(out, hall, heard);
            return out.str().empty() ? "no data hall is emptied\n" : out.str();
        }

    private:
        void print(std::ostringstream& out, const std::string& hall, const HeardBy& heard) const
        {
            if (heard.empty())
                return;
            const auto isEarlier = [](const auto& a, const auto& b) { return a.second < b.second; };
            const auto [first, last] = std::minmax_element(heard.begin(), heard.end(), isEarlier);
            out << "data hall " << hall << ": emptied, known to " << heard.size() << " nodes since "
                << first->second << " (" << first->first << ") to " << last->second << " (" << last->first
                << ")";
            std::string draining;
            for (const auto& [node, time] : heard) {
                const auto it = m_life.find(node);
                if (it != m_life.end() && it->second == "draining")
                    draining += " " + node;
            }
            out << (draining.empty() ? "; nothing runs there any more" : "; calls still run at" + draining)
                << "\n";
        }

        std::map<std::string, HeardBy> m_heard; ///< by hall
        std::map<std::string, std::string> m_life; ///< of the upstream beside each node
    };

} // namespace

std::string emptiedHalls(const std::vector<std::string>& logs)
{
    HallStory story;
    for (const auto& log : logs)
        eachLine(log, [&](const std::string& line) { story.take(line); });
    return story.print();
}

} // namespace robinrun
