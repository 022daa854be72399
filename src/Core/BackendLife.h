#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace robinrun {

/// \brief One start of a backend server: the id that it goes by and when it began.
///
/// A server may start again under the id that it had, with nothing left of before. So whatever is held for a
/// server (its load, its learnt limit, calls under way to it, that it has left) is held for one life of it.
/// Lives that say when they began are ordered by that alone: counts and the order of arrival say nothing, as
/// counts begin anew with each life and messages are held up. A life that says no start is ordered before
/// each of its id that says one.
class BackendLife {
public:
    BackendLife() = default;

    /// \param born Unix ms of the start; 0 if it isn't known.
    explicit BackendLife(std::string id, std::uint64_t born = 0)
        : m_id(std::move(id))
        , m_born(born)
    {
    }

    /// \brief Reads what key() has written. Never fails: text that ends in no start is an id alone.
    static BackendLife fromKey(std::string_view key);

    const std::string& id() const { return m_id; }
    std::uint64_t born() const { return m_born; }
    bool hasBorn() const { return m_born != 0; }

    /// \returns the one text that names this life in look-ups, between nodes and in logs: `id#born`, or the
    /// id alone where no start is known. An id comes out of a request's path and so holds no `#`.
    std::string key() const;

    /// \returns whether this life is over once \a other is known: both say when they began, and this one did
    /// before, or it says no start of the same id.
    bool isBefore(const BackendLife& other) const;

    /// \returns whether what is meant for \a asked may go to this life: the same one, or any of its id.
    bool isMeantBy(const BackendLife& asked) const
    {
        return m_id == asked.m_id && (!asked.hasBorn() || m_born == asked.m_born);
    }

    bool operator==(const BackendLife&) const = default;

private:
    std::string m_id;
    std::uint64_t m_born = 0;
};

} // namespace robinrun
