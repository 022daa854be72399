#pragma once

#include "Core/Time.h"
#include "Node/PeerLinks.h"
#include "Node/Timer.h"
#include "Wire/PeerSocket.h"
#include "peer.pb.h"

#include <event2/event.h>
#include <map>
#include <string>

namespace robinrun {

/// \brief Tells ingresses that the upstream of this node leaves or stays.
///
/// The word goes back along the link that their calls came by. Where that is gone it goes over a link of this
/// node's own, and again while that is being opened.
class LeavingNews {
public:
    /// A link that doesn't stand within so long leads nowhere.
    static constexpr Duration patience = 1s;

    LeavingNews(event_base* base, PeerLinks links);
    ~LeavingNews() = default;
    LeavingNews(const LeavingNews&) = delete;
    LeavingNews& operator=(const LeavingNews&) = delete;

    /// \brief Tells \a to; what it was to be told before and did not get is dropped.
    void tell(const PeerSocket::Sender& to, const proto::PeerMessage& message, Instant now);

    /// \returns how many have not been told yet.
    std::size_t pending() const { return m_pending.size(); }

    /// \brief Tells again those who could not be told yet.
    void tellAgain(Instant now);

private:
    struct News {
        PeerSocket::Sender to;
        proto::PeerMessage message;
        Instant until {};
    };
    /// \returns whether there is nothing more to do for it.
    bool isDone(News& news, Instant now) const;
    void tellAgainSoon();

    event_base* m_base;
    PeerLinks m_links;
    std::map<std::string, News> m_pending; ///< by address
    Timer m_timer;
};

} // namespace robinrun
