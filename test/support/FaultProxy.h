#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"

#include <event2/event.h>
#include <memory>
#include <string>
#include <unordered_map>

struct evconnlistener;

namespace robinrun::support {

/// \brief What a proxy does with the bytes that pass it.
enum class LinkFault {
    None,
    Delay, ///< passes them on late
    Reset, ///< resets all connections, and new ones
    Silence, ///< passes nothing on; connections stay
    SilenceUp, ///< passes nothing on towards the server
    SilenceDown, ///< passes nothing on towards the client
    Forget, ///< passes nothing on, now or later, along the connections there are; new ones work
};

} // namespace robinrun::support

template <> struct robinrun::EnumNames<robinrun::support::LinkFault> {
    static constexpr std::array<std::string_view, 7> names { "none", "delay", "reset", "silence",
        "silence-up", "silence-down", "forget" };
};

namespace robinrun::support {

/// \brief A relay of TCP connections on loopback that can be told to harm them.
class FaultProxy {
public:
    /// \brief Listens at \a address and relays to \a target. \throws std::runtime_error.
    FaultProxy(event_base* base, const std::string& address, std::string target);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    /// \brief What is silenced is passed on when the fault ends, as on a link that was cut for a while.
    void set(LinkFault fault);
    LinkFault fault() const { return m_fault; }

    /// \brief Bounds what all connections made from now on bring from the server to clients together. To
    /// be called once.
    void limit(std::size_t bytesPerSecond);

    /// \brief Bounds what all connections made from now on bring from clients to the server together. What is
    /// not passed on yet stays in the sender's kernel, but for 32 KB, as it does on a slow link. To be
    /// called once.
    void limitUp(std::size_t bytesPerSecond);

    /// \returns connections accepted so far.
    std::size_t accepted() const { return m_accepted; }

private:
    struct Relay;
    struct Bound;
    void accept(evutil_socket_t fd);
    void remove(Relay* relay);
    bool isSilent(bool isUp) const;

    event_base* m_base;
    std::string m_target;
    evconnlistener* m_listener = nullptr;
    LinkFault m_fault = LinkFault::None;
    std::unordered_map<Relay*, std::unique_ptr<Relay>> m_relays;
    std::unique_ptr<Bound> m_down; ///< none if not bounded
    std::unique_ptr<Bound> m_up; ///< none if not bounded
    std::size_t m_accepted = 0;
};

} // namespace robinrun::support
