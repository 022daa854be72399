#pragma once

#include "Core/Result.h"
#include "Core/Time.h"
#include "Platform/AppendLog.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace robinrun {

/// \brief One record of a keyed topic.
struct KeyedRecord {
    std::string key;
    std::string value; ///< empty: the key was taken away
};

/// \brief Records of a keyed topic, in the order they were written.
struct KeyedPage {
    std::vector<KeyedRecord> records;
    std::uint64_t next = 0; ///< offset to read on from
    std::uint64_t unreadable = 0; ///< entries that were passed over: no key, or a value that can't be read
};

/// \brief A store in which nodes meet and the configuration lies: topics that keep the newest record of each
/// key for good, and all others for a while.
///
/// Callbacks run on the loop, exactly once each, never inside the call itself. Each call costs; none is made
/// for a single request of a caller. \sa docs/DESIGN-platform.md
class RecordStore {
public:
    using Paged = std::function<void(Result<KeyedPage, PlatformError>)>;
    using Written = std::function<void(Result<void, PlatformError>)>;

    virtual ~RecordStore() = default;

    /// \brief Reads the newest record of each key of \a topic.
    virtual void newest(const std::string& topic, Paged done) = 0;

    /// \brief Reads records from \a from on; with none there yet, waits up to \a wait for one. The error is
    /// `Forgotten` if they are no longer kept: read newest() again.
    virtual void follow(const std::string& topic, std::uint64_t from, Duration wait, Paged done) = 0;

    /// \brief Writes the record of \a key; an empty \a value takes the key away. After the error `Uncertain`
    /// it may be there, or come to be seconds later.
    virtual void write(
        const std::string& topic, const std::string& key, const std::string& value, Written done)
        = 0;
};

} // namespace robinrun
