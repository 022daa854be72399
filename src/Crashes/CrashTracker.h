#pragma once

#include "Core/Time.h"
#include "Crashes/CallContent.h"
#include "peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace robinrun {

/// \brief Collects the reports of backend server crashes from all nodes, and decides which contents are held
/// back because they probably cause crashes.
///
/// A crash is a strike against each content that ran on the server. The rules:
/// - Strikes whose runs overlapped in time count as one: servers that end together have another cause, such
///   as a power failure.
/// - A successful call of a content at any node clears its strikes, because a request that crashes every
///   server never succeeds.
/// - A crash at which a held content ran does not count against the other contents that ran there.
/// - A content is held back at its third strike. A content that had succeeded at the owner before is held at
///   its fifth: it is probably a frequent call that was in flight at crashes of another cause. If such a
///   request has turned bad, the rule costs two more servers.
///
/// A held content is tried again from time to time, because a new release may run it without a crash: after
/// ten minutes, after an hour, and then every twelve hours. All nodes select the same single server for the
/// trial (trialHostOf()). If a content is held only because of crashes at which other held contents ran too,
/// either one may be the cause; it is tried after five seconds.
///
/// Nodes with the same reports and acquittals have the same strikes, in whichever order these arrived.
/// Cost: verdictOf() O(log contents); a change O(reports x suspects). Memory: at most 256 reports of 256
/// bytes each plus 50 bytes for each suspect. Beyond that, as in a flood of new contents, the oldest reports
/// that hold back no content are dropped first.
class CrashTracker {
public:
    struct Options {
        /// Strikes at which a content is held back.
        std::size_t strikesToHold = 3;
        /// Same for a content that had succeeded at an owner before it ran at a crash there.
        std::size_t strikesToHoldIfSucceeded = 5;
        std::size_t maxReports = 256;
        /// Reports are dropped after this time; a content is rarely in flight at three crashes in one day by
        /// chance.
        Duration reportRetention = 24h;
        /// Delay before the trial of a content whose crashes may have been caused by another held content.
        Duration ambiguousTrialDelay = 5s;
    };

    enum class Verdict {
        Free,
        Trial, ///< Held back, but a single server may try it now.
        Held,
    };

    /// \brief Why and until when a content is held back.
    struct Hold {
        /// Without the crashes at which other held contents ran too, there would be too few strikes to hold
        /// this content: either one may be the cause.
        bool isAmbiguous = false;
        Instant trialAt {}; ///< From this time on a single server may try the content.
        std::vector<std::uint64_t> reportIds; ///< Reports that led to the hold.
    };

    /// Maximum number of suspects in a report; more than any backend server in use runs at once (12 slots).
    static constexpr std::size_t maxSuspects = 64;

    CrashTracker() = default;
    explicit CrashTracker(Options options)
        : m_options(options)
    {
    }

    /// \brief Adds the report of a crash. \returns whether it is new; the caller must then call
    /// updateHolds().
    bool addReport(const proto::CrashReport& report, Instant now);

    /// \brief Clears the strikes that \a acquittal names, after a success of the content.
    /// \returns whether a strike was cleared; the caller must then call updateHolds().
    bool applyAcquittal(const proto::CrashAcquittal& acquittal);

    /// \brief Holds back the contents with too many strikes, and frees those without strikes.
    ///
    /// To be called once for all reports and acquittals that arrive together: after a part of them, another
    /// content may seem to be the cause.
    void updateHolds();

    /// \returns an acquittal of all known strikes against \a content; std::nullopt if there are none.
    std::optional<proto::CrashAcquittal> acquittalOf(ContentId content) const;

    /// \brief Drops the reports that are older than Options::reportRetention.
    void forgetOldReports(Instant now);

    /// \returns whether a content with the hash \a quickHash may have strikes. If not, the caller need not
    /// compute its id, which takes 2 us; this check takes about 20 ns.
    bool mayHaveStrikes(std::uint64_t quickHash) const { return m_strikeHashes.contains(quickHash); }
    /// \returns whether a content with the hash \a quickHash may be held back; see mayHaveStrikes().
    bool mayBeHeld(std::uint64_t quickHash) const { return m_heldHashes.contains(quickHash); }
    bool hasHolds() const { return !m_holds.empty(); }

    Verdict verdictOf(ContentId content, Instant now) const;

    /// \returns the time until \a content may be tried; zero if it may be tried now or is not held back.
    Duration timeUntilTrial(ContentId content, Instant now) const;

    const std::map<ContentId, Hold>& holds() const { return m_holds; }
    std::size_t reportCount() const { return m_reports.size(); }

    /// \returns the number of strikes against \a content. Unless it is held back itself, crashes at which a
    /// held content ran are left out.
    std::size_t strikeCount(ContentId content) const;

private:
    struct Strike {
        ContentId content = 0;
        Duration runTime {}; ///< Until the crash.
        std::uint64_t quickHash = 0;
        bool hadSucceededBefore = false;
        bool isCleared = false;
    };
    struct Report {
        std::int64_t crashedAtMs = 0; ///< Unix time, by the clock of the reporting node.
        Instant receivedAt {};
        std::vector<Strike> strikes;
    };
    /// \brief A content with the strikes against it that count.
    struct Candidate {
        ContentId content = 0;
        std::size_t strikeCount = 0;
        bool hadSucceededBefore = false;
        std::vector<std::uint64_t> reportIds;
    };
    using StrikeKey = std::pair<ContentId, std::uint64_t>; ///< Content and id of the report.

    /// \returns the strike against \a content unless it is cleared; null if there is none.
    static const Strike* findUnclearedStrike(const Report& report, ContentId content);
    /// \returns whether another content that is held back ran at the crash.
    bool isExplainedByHold(const Report& report, ContentId content) const;
    /// \returns the contents that have enough strikes to be held back and are not.
    std::vector<Candidate> findCandidates() const;
    /// \param includesExplained whether crashes at which a held content ran count too.
    Candidate makeCandidate(ContentId content, bool includesExplained) const;
    /// \brief Holds back \a likeliest and the candidates with the same reports, which can't be told from it.
    void addHolds(const Candidate& likeliest, const std::vector<Candidate>& candidates);
    /// \brief Frees the held contents that have no strike left.
    void freeClearedContents();
    /// \brief Holds back the likeliest candidate, and repeats this until no candidate is left.
    void holdLikelyCauses();
    /// \brief Sets the time of the next trial of each held content.
    ///
    /// This time changes only with strikes and holds, not as time passes, so that verdictOf() need not look
    /// at the reports.
    void scheduleTrials();
    /// \brief Rebuilds the sets of hashes behind mayHaveStrikes() and mayBeHeld().
    void rebuildHashSets();
    /// \brief Drops reports until at most Options::maxReports are left.
    void evictExcessReports();
    /// \returns the times at which the strikes against \a content were received, in ascending order.
    std::vector<Instant> strikeTimes(ContentId content) const;

    Options m_options;
    std::map<std::uint64_t, Report> m_reports; ///< By id.
    std::deque<std::uint64_t> m_reportOrder; ///< Ids of the reports in the order of arrival.
    std::set<StrikeKey> m_earlyAcquittals; ///< Acquittals of strikes whose reports have not arrived yet.
    std::map<ContentId, Hold> m_holds;
    std::unordered_set<std::uint64_t> m_strikeHashes;
    std::unordered_set<std::uint64_t> m_heldHashes;
};

/// \returns the one of \a hosts that may try \a content while it is held back; std::nullopt if \a hosts is
/// empty. Nodes that know the same hosts get the same result. Cost: O(hosts).
std::optional<std::string> trialHostOf(ContentId content, const std::vector<std::string>& hosts);

} // namespace robinrun
