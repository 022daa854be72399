#pragma once

#include "Core/Time.h"
#include "Platform/RecordStore.h"
#include "peer.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace robinrun {

/// \brief Tracks which data halls the operator has emptied. No calls are sent to backend servers in an
/// emptied hall.
///
/// For each hall the newest record is valid, by its position in the store's topic, whether it was read from
/// the store or received from a contact. So all nodes reach the same state in any order of messages, and no
/// node returns to an older state. After the store has been restored from an older copy, a hall stays emptied
/// until a record of the new era says otherwise, or until the operator's time to write the records again is
/// over. Leaving servers out for a moment costs less than sending calls to servers that are being removed.
/// Cost: O(halls) per operation. At most 256 halls are kept; halls that are not emptied are evicted first.
class EmptiedHalls {
public:
    /// \returns the hall that the record with this key refers to; nothing for other records.
    using KeyParser = std::function<std::optional<std::string>(std::string_view key)>;

    /// \brief Applies a page of records from the store.
    /// \returns whether the state of any hall has changed.
    bool applyPage(const KeyedPage& page, const KeyParser& parseKey);

    /// \brief Applies the state of halls in a contact's message.
    /// \returns whether the state of any hall has changed.
    bool applyContact(const proto::NodeContact& contact);

    /// \brief Clears halls whose record is of an earlier era and was not written again in time after the
    /// store was restored.
    /// \returns whether the state of any hall has changed.
    bool expireFormerEras(std::uint64_t era, Instant now);

    /// \brief Adds the state of all known halls to a message for contacts.
    void addToContact(proto::NodeContact& contact) const;

    bool isEmptied(const std::string& hall) const;
    std::set<std::string> emptiedHalls() const;

private:
    struct Record {
        StorePosition position;
        bool isEmptied = false;
    };

    bool update(const std::string& hall, const Record& record);
    bool updateAbsentHalls(const KeyedPage& page, const std::set<std::string>& present);
    void evictExcessHalls();

    std::map<std::string, Record> m_halls;
    std::uint64_t m_era = 0;
    Instant m_eraNoticedAt {};
};

} // namespace robinrun
