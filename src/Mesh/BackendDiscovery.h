#pragma once

#include "Http/HttpPool.h"
#include "Mesh/Announcement.h"
#include "Node/Prober.h"
#include "Node/Timer.h"

#include <event2/event.h>
#include <functional>
#include <string>

namespace robinrun {

/// \brief Finds out which backend server runs beside a node that has just started, by its health endpoint.
/// The node then does not have to wait for the next announcement.
class BackendDiscovery {
public:
    using FoundHandler = std::function<void(const Announcement&)>;

    /// \param address ip:port of the backend server.
    /// \param onFound is called on the event loop, once for each start() and each askAgain().
    BackendDiscovery(event_base* base, const std::string& address, FoundHandler onFound);

    /// \brief Sends a health request at once and repeats it 0.4 s after each failure, until the server is
    /// found or stop() is called.
    /// \param healthPath path of the server's health endpoint.
    /// \param headers names of the header fields in which the server reports its id and state.
    void start(const std::string& healthPath, const CallHeaders& headers);
    void stop();

    /// \brief Sends another health request after 0.4 s, because what was found is not enough. To be called
    /// from the handler.
    void askAgain();
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
