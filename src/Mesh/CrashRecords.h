#pragma once

#include "Crashes/CrashLedger.h"
#include "peer.pb.h"

#include <cstddef>
#include <string>

namespace robinrun::crashRecords {

/// \file What a node's record carries of crashes: reports of its own backend server's last crashes, those of
/// its former lives too, and acquittals by good ends there. So crashes spread, are compared between contacts
/// and are read in the store just as records are, and outlast the nodes.

/// Of a server that crashes more often than so many times, the last ones say enough: three hold a content
/// back.
inline constexpr std::size_t maxReports = 8;
inline constexpr std::size_t maxAcquittals = 16;
/// Of one content: more strikes than hold it back.
inline constexpr std::size_t maxClearedReports = 32;

/// \brief Adds \a report to \a record unless it is there; beyond the bound the oldest go. \returns whether it
/// did.
bool add(proto::NodeRecord& record, const proto::CrashReport& report);

/// \brief Adds \a acquittal to \a record, to a former one of the same content if there is one; beyond the
/// bounds the oldest go.
void add(proto::NodeRecord& record, const proto::CrashAcquittal& acquittal);

/// \brief Takes all that \a record says into \a ledger. \returns whether anything was news.
bool mergeIntoLedger(const proto::NodeRecord& record, CrashLedger& ledger, Instant now);

/// \returns why a record's reports and acquittals can't be what a node has written, with the field; "" if
/// they can.
std::string validationError(const proto::NodeRecord& record);

} // namespace robinrun::crashRecords
