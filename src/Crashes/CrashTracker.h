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

/// \brief What a node knows of crashes of backend servers anywhere, and which contents it holds back for it.
///
/// Each crash is a strike against all contents that ran there. Strikes count one by one if the runs did not
/// overlap: servers that are killed together have ended for another cause. A good end of a content anywhere
/// clears its strikes, as a request that crashes whatever runs it has none; and where a content is held back,
/// crashes under which it ran say nothing against others. The third strike that counts holds a content back.
/// Contents that had ended well at the owner before get two more: they are probably other callers' calls that
/// are often in flight, and a request that has turned bad costs two servers more.
///
/// A content that is held back is tried again by one server at a time, the same one for all nodes
/// (trialHostOf()): after ten minutes, an hour, and then each twelve hours, as a new release may run it well.
/// Where others that are held back ran at so many of its crashes that the rest would not hold it, either may
/// be the cause; it is tried after five seconds.
///
/// Nodes that know the same reports and acquittals know the same strikes, in whichever order these came.
/// Cost: verdictOf() O(log contents); a change O(reports x suspects); memory at most 256 reports, 256 bytes
/// and 50 a suspect each: under a flood of contents that are new each time the oldest reports which hold back
/// nothing go first.
class CrashTracker {
public:
    struct Options {
        /// Servers that a content may crash before it is held back.
        std::size_t strikesToHold = 3;
        /// The same for one that had ended well at an owner beside whose server it struck.
        std::size_t strikesToHoldIfSucceeded = 5;
        std::size_t maxReports = 256;
        /// Strikes are forgotten after it: calls that are in flight at three crashes in a day are rare.
        Duration reportRetention = 24h;
        Duration ambiguousTrialDelay = 5s;
    };

    enum class Verdict {
        Free,
        Trial, ///< held back, but one server may try it now
        Held,
    };

    /// \brief A content that is held back, and why.
    struct Hold {
        /// Others that are held back ran at so many of its crashes that the rest would not hold it: either
        /// may be the cause.
        bool isAmbiguous = false;
        Instant trialAt {}; ///< from then on one server may try it
        std::vector<std::uint64_t> reportIds; ///< which led to it
    };

    /// Suspects that a report names: more than any backend server of the users' sites runs at once (12
    /// slots).
    static constexpr std::size_t maxSuspects = 64;

    CrashTracker() = default;
    explicit CrashTracker(Options options)
        : m_options(options)
    {
    }

    /// \brief A backend server has crashed. \returns whether that was news; then judge() has to follow.
    bool addReport(const proto::CrashReport& report, Instant now);

    /// \brief A content has ended well. \returns whether that cleared a strike; then judge() has to follow.
    bool applyAcquittal(const proto::CrashAcquittal& acquittal);

    /// \brief Holds back what has too many strikes by now, and frees what has none. To be called when all
    /// that came together was taken in: of a part of it, other contents may seem to be the cause.
    void updateHolds();

    /// \returns an acquittal of all strikes of \a content that are known; nothing if there is none.
    std::optional<proto::CrashAcquittal> acquittalOf(ContentId content) const;

    /// \brief Forgets what is too old.
    void forgetOldReports(Instant now);

    /// \returns whether a content that hashes to \a quickHash may have strikes, or may be held back; if not,
    /// its id need not be computed: about 20 ns in place of 2 us for each call.
    bool mayHaveStrikes(std::uint64_t quickHash) const { return m_strikeHashes.contains(quickHash); }
    bool mayBeHeld(std::uint64_t quickHash) const { return m_heldHashes.contains(quickHash); }
    bool hasHolds() const { return !m_holds.empty(); }

    Verdict verdictOf(ContentId content, Instant now) const;

    /// \returns how long until a content that is held back is tried again; zero if it may be now.
    Duration timeUntilTrial(ContentId content, Instant now) const;

    const std::map<ContentId, Hold>& holds() const { return m_holds; }
    std::size_t reportCount() const { return m_reports.size(); }

    /// \returns the strikes against \a content that count at \a now, those that others explain left out.
    std::size_t strikeCount(ContentId content) const;

private:
    struct Strike {
        ContentId content = 0;
        Duration runTime {};
        std::uint64_t quickHash = 0;
        bool hadSucceededBefore = false;
        bool isCleared = false;
    };
    struct Report {
        std::int64_t crashedAtMs = 0;
        Instant receivedAt {};
        std::vector<Strike> strikes;
    };
    struct Candidate {
        ContentId content = 0;
        std::size_t strikeCount = 0;
        bool hadSucceededBefore = false;
        std::vector<std::uint64_t> reportIds;
    };
    using StrikeKey = std::pair<ContentId, std::uint64_t>; ///< and id of a report

    /// \returns the strike against \a content that counts; null if there is none.
    static const Strike* findUnclearedStrike(const Report& report, ContentId content);
    /// \returns whether another content that is held back ran at this crash.
    bool isExplainedByHold(const Report& report, ContentId content) const;
    /// \returns what has strikes and is not held back.
    std::vector<Candidate> findCandidates() const;
    /// \param includesExplained strikes that others which are held back explain count too.
    Candidate makeCandidate(ContentId content, bool includesExplained) const;
    void addHolds(const Candidate& likeliest, const std::vector<Candidate>& candidates);
    void freeClearedContents();
    /// \brief Holds back one content after the other until none has too many strikes.
    void holdLikelyCauses();
    /// \brief Sets when each content that is held back is tried again. A change of what is held back or
    /// struck moves it, the passage of time does not, so verdictOf() need not look at reports.
    void scheduleTrials();
    /// \brief Collects the hashes of what has strikes and of what is held back.
    void rebuildHashSets();
    void evictExcessReports();
    /// \returns moments at which the strikes against \a content were heard, in order.
    std::vector<Instant> strikeTimes(ContentId content) const;

    Options m_options;
    std::map<std::uint64_t, Report> m_reports; ///< by id
    std::deque<std::uint64_t> m_reportOrder; ///< ids as they came
    std::set<StrikeKey> m_earlyAcquittals; ///< of reports that have not come yet
    std::map<ContentId, Hold> m_holds;
    std::unordered_set<std::uint64_t> m_strikeHashes;
    std::unordered_set<std::uint64_t> m_heldHashes;
};

/// \returns which of \a hosts alone may try \a content while it is held back: the same one for all nodes that
/// know the same hosts; nothing if there is none. Cost: O(hosts).
std::optional<std::string> trialHostOf(ContentId content, const std::vector<std::string>& hosts);

} // namespace robinrun
