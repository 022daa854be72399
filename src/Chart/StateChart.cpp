#include "Chart/StateChart.h"

#include <algorithm>
#include <yaml-cpp/yaml.h>

namespace robinrun {

std::string ChartError::text() const
{
    return file + ":" + std::to_string(line) + ": " + message;
}

namespace internal {
    namespace {

        /// \brief Thrown inside this file only; readChart turns it into a ChartError.
        struct Fault {
            int line;
            std::string message;
        };

        int lineOf(const YAML::Node& node)
        {
            return node.Mark().line + 1;
        }

        std::size_t indexOf(
            const std::vector<std::string_view>& names, const YAML::Node& node, const char* kind)
        {
            const auto name = node.as<std::string>();
            const auto it = std::find(names.begin(), names.end(), name);
            if (it == names.end())
                throw Fault { lineOf(node), std::string("unknown ") + kind + " '" + name + "'" };
            return static_cast<std::size_t>(it - names.begin());
        }

        class Reader {
        public:
            Reader(const YAML::Node& root, const std::vector<std::string_view>& states,
                const std::vector<std::string_view>& events)
                : m_root(root)
                , m_states(states)
                , m_events(events)
            {
            }

            ChartTable read(std::string_view name)
            {
                if (m_root["chart"].as<std::string>("") != name)
                    throw Fault { lineOf(m_root), "field 'chart' must be '" + std::string(name) + "'" };
                checkEvents();
                m_table.events = m_events.size();
                m_table.next.assign(m_states.size() * m_events.size(), ChartTable::noTransition);
                m_table.isFinal.assign(m_states.size(), false);
                m_table.initial = indexOf(m_states, m_root["initial"], "state");
                readStates();
                checkReachable();
                return std::move(m_table);
            }

        private:
            void checkEvents() const
            {
                const auto& events = m_root["events"];
                for (const auto& it : events)
                    indexOf(m_events, it, "event");
                if (events.size() != m_events.size())
                    throw Fault { lineOf(m_root),
                        "field 'events' must name all events of the code, each once" };
            }

            void readStates()
            {
                const auto& states = m_root["states"];
                if (states.size() != m_states.size())
                    throw Fault { lineOf(m_root),
                        "field 'states' must hold all states of the code, each once" };
                for (const auto& it : states)
                    readState(indexOf(m_states, it.first, "state"), it.second);
            }

            void readState(std::size_t state, const YAML::Node& node)
            {
                if (node["final"].as<bool>(false)) {
                    m_table.isFinal[state] = true;
                    return;
                }
                std::vector<bool> isCovered(m_events.size(), false);
                for (const auto& it : node["on"]) {
                    const auto event = cover(isCovered, it.first);
                    m_table.next[state * m_events.size() + event]
                        = static_cast<int>(indexOf(m_states, it.second, "state"));
                }
                for (const auto& it : node["ignore"])
                    cover(isCovered, it);
                const auto gap = std::find(isCovered.begin(), isCovered.end(), false);
                if (gap == isCovered.end())
                    return;
                const auto event = m_events[static_cast<std::size_t>(gap - isCovered.begin())];
                throw Fault { lineOf(node),
                    "state '" + std::string(m_states[state]) + "' says nothing of event '"
                        + std::string(event) + "'" };
            }

            std::size_t cover(std::vector<bool>& isCovered, const YAML::Node& node) const
            {
                const auto event = indexOf(m_events, node, "event");
                if (isCovered[event])
                    throw Fault { lineOf(node), "event '" + node.as<std::string>() + "' stands twice" };
                isCovered[event] = true;
                return event;
            }

            void checkReachable() const
            {
                std::vector<bool> isReached(m_states.size(), false);
                std::vector<std::size_t> open { m_table.initial };
                while (!open.empty()) {
                    const auto state = open.back();
                    open.pop_back();
                    if (isReached[state])
                        continue;
                    isReached[state] = true;
                    for (std::size_t event = 0; event < m_events.size(); ++event) {
                        const int to = m_table.next[state * m_events.size() + event];
                        if (to != ChartTable::noTransition)
                            open.push_back(static_cast<std::size_t>(to));
                    }
                }
                const auto it = std::find(isReached.begin(), isReached.end(), false);
                if (it == isReached.end())
                    return;
                const auto state = m_states[static_cast<std::size_t>(it - isReached.begin())];
                throw Fault { lineOf(m_root["states"]),
                    "state '" + std::string(state) + "' can't be reached" };
            }

            const YAML::Node m_root;
            const std::vector<std::string_view>& m_states;
            const std::vector<std::string_view>& m_events;
            ChartTable m_table;
        };

    } // namespace

    Result<ChartTable, ChartError> readChart(const std::string& path, std::string_view name,
        const std::vector<std::string_view>& states, const std::vector<std::string_view>& events)
    {
        try {
            return Reader(YAML::LoadFile(path), states, events).read(name);
        } catch (const Fault& fault) {
            return failure(ChartError { path, fault.line, fault.message });
        } catch (const YAML::Exception& ex) {
            return failure(ChartError { path, ex.mark.line + 1, ex.msg });
        }
    }

} // namespace internal
} // namespace robinrun
