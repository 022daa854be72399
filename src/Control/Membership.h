#pragma once

#include "Core/Time.h"
#include "Platform/HostList.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace robinrun {

/// \brief The hosts of the system: the platform's host list, corrected by this node's own observations.
///
/// The list lags behind. A host that doesn't answer is suspected for `suspicionDuration`, and trees route
/// around it. A suspicion ends when the host is heard from, and at the latest when it expires, so a wrong
/// suspicion corrects itself. Suspicions are not sent to other nodes: no node counts as failed on another
/// node's word, and suspicions cause no traffic. Cost: O(1) per look-up, O(hosts of the hall) per hall list;
/// about 200 bytes per host.
class Membership {
public:
    struct Options {
        Duration suspicionDuration = 10s;
    };

    explicit Membership(Options options)
        : m_options(options)
    {
    }

    /// \brief Applies a page of changes to the host list, unless its version is not newer than version().
    /// \returns whether it was applied.
    bool applyPage(const HostPage& page);

    void suspect(const std::string& name, Instant now);
    /// \brief Ends a suspicion. To be called when a message of the host arrives.
    void clearSuspicion(const std::string& name);

    /// \returns whether the host is listed, isn't leaving and isn't suspected.
    bool isLive(const std::string& name, Instant now) const;
    bool isSuspected(const std::string& name, Instant now) const;
    /// \returns the host of this name, or null if it isn't listed.
    const HostEntry* find(const std::string& name) const;

    /// \returns the names of the hosts of a data hall that are listed and not leaving, suspected or not, in a
    /// fixed order.
    std::vector<std::string> listedHosts(const std::string& hall) const;

    /// \returns the names of the live hosts of a data hall, in a fixed order.
    std::vector<std::string> liveHosts(const std::string& hall, Instant now) const;

    /// \returns the names of all data halls of a region; of all regions if \a region is empty.
    std::vector<std::string> halls(const std::string& region) const;
    std::vector<std::string> regions() const;

    /// \returns the names of all listed hosts, in a fixed order.
    std::vector<std::string> hostNames() const;

    /// \returns the changes since \a version, or nothing if there are none. The page is the whole list if
    /// \a version is 0 or older than the removals that are still remembered.
    std::optional<HostPage> changesSince(std::uint64_t version) const;

    std::uint64_t version() const { return m_version; }
    /// \returns the number of listed hosts.
    std::size_t size() const { return m_hosts.size(); }

private:
    Options m_options;
    std::uint64_t m_version = 0;
    std::map<std::string, HostEntry> m_hosts;
    std::map<std::string, std::uint64_t> m_lastChangeVersions; ///< by host name, removed hosts included:
                                                               ///< version of the last page with the host
    std::uint64_t m_oldestDeltaVersion = 0; ///< removals before this version are no longer remembered
    std::map<std::string, std::map<std::string, std::vector<std::string>>>
        m_hostNamesByHall; ///< by region, then data hall
    std::unordered_map<std::string, Instant> m_suspectedUntil;

    void rebuildHallIndex();
    void pruneRemovedHosts();
};

} // namespace robinrun
