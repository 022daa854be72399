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

/// \brief The hosts of the system: the platform's list, corrected by what this node sees itself.
///
/// The list lags. A host that doesn't answer is suspected for a while and passed over in trees; the suspicion
/// ends when it is heard from, and by itself in any case, so that a wrong one heals. Suspicions are never
/// told to others: no node is declared dead by hearsay, and there is no traffic for it. Cost: O(1) a look-up,
/// O(hosts of the hall) for a hall's list; about 200 bytes a host.
class Membership {
public:
    struct Options {
        Duration suspicionDuration = 10s;
    };

    explicit Membership(Options options)
        : m_options(options)
    {
    }

    /// \brief Takes changes to the list. Older versions than the present are passed over. \returns whether
    /// taken.
    bool applyPage(const HostPage& page);

    void suspect(const std::string& name, Instant now);
    void clearSuspicion(const std::string& name);

    /// \returns whether the host is listed, isn't leaving and isn't suspected.
    bool isLive(const std::string& name, Instant now) const;
    bool isSuspected(const std::string& name, Instant now) const;
    const HostEntry* find(const std::string& name) const;

    /// \returns names of the hosts of a data hall that are listed and not leaving, suspected or not, in a
    /// fixed order.
    std::vector<std::string> listedHosts(const std::string& hall) const;

    /// \returns names of the live hosts of a data hall, in a fixed order.
    std::vector<std::string> liveHosts(const std::string& hall, Instant now) const;

    /// \returns names of all data halls of a region, or of all regions where \a region is empty.
    std::vector<std::string> halls(const std::string& region) const;
    std::vector<std::string> regions() const;

    /// \returns all listed names, in a fixed order.
    std::vector<std::string> hostNames() const;

    /// \returns what changed since \a version, whole for 0 or after too many hosts have gone; nothing if
    /// there is nothing.
    std::optional<HostPage> changesSince(std::uint64_t version) const;

    std::uint64_t version() const { return m_version; }
    std::size_t size() const { return m_hosts.size(); }

private:
    Options m_options;
    std::uint64_t m_version = 0;
    std::map<std::string, HostEntry> m_hosts;
    std::map<std::string, std::uint64_t>
        m_lastChangeVersions; ///< version of the page that last told of a host, also of gone ones
    std::uint64_t m_oldestDeltaVersion = 0; ///< before it what has gone is no longer known
    std::map<std::string, std::map<std::string, std::vector<std::string>>>
        m_hostNamesByHall; ///< region, hall, names
    std::unordered_map<std::string, Instant> m_suspectedUntil;

    void rebuildHallIndex();
    void pruneRemovedHosts();
};

} // namespace robinrun
