#pragma once

#include "Crashes/CrashTracker.h"
#include "peer.pb.h"

#include <cstddef>
#include <string>

namespace robinrun::crashRecords {

/// \file Crash data in a node's record: reports of the last crashes of its own backend server, including
/// crashes of former lives of that server, and acquittals by requests that completed there. Crash data
/// therefore spreads with the records, is compared between contacts, is read from the store and outlives the
/// node.

/// Maximum number of crash reports in a record. The last 8 are enough for a server that crashes more often:
/// three crashes already hold a request content back.
inline constexpr std::size_t maxReports = 8;
inline constexpr std::size_t maxAcquittals = 16;
/// Maximum number of cleared reports of one content. It exceeds the number of strikes that hold the content
/// back.
inline constexpr std::size_t maxClearedReports = 32;

/// \brief Adds \a report to \a record unless the record already has it. The oldest reports beyond the limit
/// are removed.
/// \returns whether the report was added.
bool add(proto::NodeRecord& record, const proto::CrashReport& report);

/// \brief Adds \a acquittal to \a record, merged with an earlier acquittal of the same content if there is
/// one. The oldest entries beyond the limits are removed.
void add(proto::NodeRecord& record, const proto::CrashAcquittal& acquittal);

/// \brief Adds all reports and acquittals of \a record to \a tracker.
/// \returns whether any of them was new.
bool mergeIntoTracker(const proto::NodeRecord& record, CrashTracker& tracker, Instant now);

/// \returns why the reports and acquittals of \a record cannot have been written by a node, with the name of
/// the field; "" if they are valid.
std::string validationError(const proto::NodeRecord& record);

} // namespace robinrun::crashRecords
