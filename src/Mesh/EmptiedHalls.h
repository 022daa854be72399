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

/// \brief Which data halls the operator has emptied: nothing more is sent to the backend servers there.
///
/// The newest record of each hall counts, by its place in the store's topic, whichever way it came: read from
/// the store or told by a contact. So all nodes come to the same, in any order, and nothing falls back. After
/// the store has come back from an older copy, a hall stays emptied until a record of the new era, or the end
/// of the time in which the operator writes again, says otherwise: to leave servers out for a moment costs
/// less than to send to those that are being taken away.
/// Cost: O(halls) a step; at most 256 halls are kept, those that are emptied first.
class EmptiedHalls {
public:
    /// \returns the hall that a record's key is about; nothing if it is about something else.
    using KeyParser = std::function<std::optional<std::string>(std::string_view key)>;

    /// \brief Takes in what the store has answered. \returns whether something has changed.
    bool applyPage(const KeyedPage& page, const KeyParser& parseKey);

    /// \brief A contact tells what it knows. \returns whether something has changed.
    bool applyContact(const proto::NodeContact& contact);

    /// \brief Ends what nobody has written again since the store came back. \returns whether anything has.
    bool expireFormerEras(std::uint64_t era, Instant now);

    /// \brief Adds what is known to what a contact is told.
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
    Instant m_eraNoticedAt {}; ///< when it was noticed here
};

} // namespace robinrun
