#pragma once

#include "Core/EnumNames.h"
#include "Core/Result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace robinrun {

/// \brief What is wrong with a chart file, and where.
struct ChartError {
    std::string file;
    int line = 0; ///< from 1; 0 when the whole file is meant
    std::string message;
    std::string text() const;
};

namespace internal {

    /// \brief A state chart as read: names in the order of the code's tables, and a transition table.
    struct ChartTable {
        static constexpr int noTransition = -1;
        std::vector<int> next; ///< [state * events + event]; noTransition where the event is ignored
        std::vector<bool> isFinal;
        std::size_t initial = 0;
        std::size_t events = 0;
    };

    /// \brief Reads and checks a chart: names match the tables, every state is reached from the initial one,
    /// and every state that isn't final says of every event where it leads or that it is ignored.
    Result<ChartTable, ChartError> readChart(const std::string& path, std::string_view name,
        const std::vector<std::string_view>& states, const std::vector<std::string_view>& events);

} // namespace internal

/// \brief A state chart from a data file, checked against the code's own names of states and events.
///
/// Cost: next() is one table look-up.
/// \tparam State enum class with a table of names.
/// \tparam Event enum class with a table of names.
template <class State, class Event> class StateChart {
public:
    /// \brief Loads \a path. \param name the chart's name, which the file must repeat.
    static Result<StateChart, ChartError> load(const std::string& path, std::string_view name)
    {
        auto table = internal::readChart(path, name, names<State>(), names<Event>());
        if (!table)
            return failure(table.error());
        return StateChart(std::move(table.value()));
    }

    State initial() const { return static_cast<State>(m_table.initial); }

    /// \returns where \a event leads from \a state; nothing if it is ignored there.
    std::optional<State> next(State state, Event event) const
    {
        const auto index = static_cast<std::size_t>(state) * m_table.events + static_cast<std::size_t>(event);
        const int to = m_table.next[index];
        if (to == internal::ChartTable::noTransition)
            return std::nullopt;
        return static_cast<State>(to);
    }

    bool isFinal(State state) const { return m_table.isFinal[static_cast<std::size_t>(state)]; }

private:
    template <class E> static std::vector<std::string_view> names()
    {
        return { EnumNames<E>::names.begin(), EnumNames<E>::names.end() };
    }

    explicit StateChart(internal::ChartTable table)
        : m_table(std::move(table))
    {
    }

    internal::ChartTable m_table;
};

} // namespace robinrun
