#pragma once

#include "Core/Result.h"
#include "Core/Time.h"
#include "Platform/AppendLog.h"
#include "Platform/StoreEra.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace robinrun {

/// \brief A place in a topic: offsets are given out again each time that the store comes back from an older
/// copy, so an offset means something in one era alone.
struct StorePosition {
    std::uint64_t era = 0; ///< rises by one with each such return; 0 where the store names none
    std::uint64_t offset = 0;

    friend bool operator==(const StorePosition&, const StorePosition&) = default;
    friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

/// \brief One record of a keyed topic.
struct KeyedRecord {
    std::string key;
    std::string value; ///< empty: the key was taken away
    StorePosition at {};
};

/// \brief Records of a keyed topic, in the order they were written.
struct KeyedPage {
    std::vector<KeyedRecord> records;
    StorePosition next {}; ///< to read on from
    std::uint64_t unreadable = 0; ///< entries that were passed over: no key, or a value that can't be read
    bool isWhole = false; ///< the newest record of each key there is: a key that is missing has none
};

/// \brief A store in which nodes meet and the configuration lies: topics that keep the newest record of each
/// key for good, and all others for a while.
///
/// Callbacks run on the loop, exactly once each, never inside the call itself. Each call costs; none is made
/// for a single request of a caller. \sa docs/design/platform.md
class RecordStore {
public:
    using Paged = std::function<void(Result<KeyedPage, PlatformError>)>;
    using Written = std::function<void(Result<void, PlatformError>)>;

    virtual ~RecordStore() = default;

    /// \brief Reads the newest record of each key of \a topic.
    virtual void newest(const std::string& topic, Paged done) = 0;

    /// \brief Reads records from \a from on; with none there yet, waits up to \a wait for one. The error is
    /// `Forgotten` if they are no longer kept, or \a from is of a former era: read newest() again.
    virtual void follow(const std::string& topic, StorePosition from, Duration wait, Paged done) = 0;

    /// \brief Writes the record of \a key; an empty \a value takes the key away. After the error `Uncertain`
    /// it may be there, or come to be seconds later.
    virtual void write(
        const std::string& topic, const std::string& key, const std::string& value, Written done)
        = 0;

    /// \brief As write(), but only if no record was written to \a topic since \a end, the position after its
    /// last record; the error is `Conflict` otherwise. After the error `Uncertain` the record may come to be
    /// there as long as nothing else was written.
    virtual void writeIfUnchanged(const std::string& topic, const std::string& key, const std::string& value,
        StorePosition end, Written done)
        = 0;

    /// \brief Runs \a f each time that the store is back from an older copy: what was read or written before
    /// may not be there. It runs before the answer that showed it is handed on.
    void onReturn(std::function<void()> f) { m_returned = std::move(f); }

    /// \brief A peer believes in \a era of the store.
    void onPeerEra(std::uint64_t era, Instant now)
    {
        if (m_era.heard(era, now))
            returned();
    }

    /// \returns what is believed of the store's era.
    const StoreEra& era() const { return m_era; }

protected:
    /// \brief As StoreEra::take(); on a change, all that was asked before is given up, and onReturn() told.
    StoreEra::Verdict noteEra(const std::optional<std::string>& text, std::uint64_t asked, Instant now)
    {
        const auto verdict = m_era.take(text, asked, now);
        if (verdict == StoreEra::Verdict::Changed)
            returned();
        return verdict;
    }

    /// \brief Gives up the reads that wait at the store with offsets of a former era.
    virtual void giveUpFollowing() { }

private:
    void returned()
    {
        giveUpFollowing();
        if (m_returned)
            m_returned();
    }

    StoreEra m_era;
    std::function<void()> m_returned;
};

} // namespace robinrun
