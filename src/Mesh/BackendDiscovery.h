#pragma once

#include "Http/HttpPool.h"
#include "Mesh/Announcement.h"
#include "Node/Prober.h"
#include "Node/Timer.h"

#include <event2/event.h>
#include <functional>
#include <string>

namespace robinrun {

/// \brief Asks the backend server beside a node that has just started which start of it runs, so that the
/// node need not wait for the next announcement.
class BackendDiscovery {
public:
    using FoundHandler = std::function<void(const Announcement&)>;

    /// \param address ip:port of the backend server. \param onFound runs at most once for each start(), on
    /// the loop.
    BackendDiscovery(event_base* base, const std::string& address, FoundHandler onFound);

    /// \brief Asks at once and then after each failure with a pause (0.4 s), until something is found or
    /// stop(). \param headers of the header fields by which the server tells.
    void start(const std::string& healthPath, const CallHeaders& headers);
    void stop();
    bool isRunning() const { return m_isRunning; }

private:
    void sendProbe();
    void onProbed(const ProbeNews& answer);

    event_base* m_base;
    std::string m_address;
    FoundHandler m_onFound;
    Prober m_prober; ///< declared before the pool, whose callbacks refer to it
    HttpPool m_pool;
    bool m_isRunning = false;
    Timer m_retryTimer;
};

} // namespace robinrun
