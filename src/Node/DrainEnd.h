#pragma once

#include "Core/Time.h"

namespace robinrun {

/// \brief Decides when a node that drains ends: once all it has is answered and said, at the latest a moment
/// after its limit. Does no I/O.
class DrainEnd {
public:
    /// Answers that are given at the limit have so long to go out.
    static constexpr Duration lastAnswers = 250ms;

    /// Messages to peers have so long when the node has ended, or what is left until then.
    static constexpr Duration longestLinger = 1s;
    static constexpr Duration leastLinger = 100ms;

    /// What a node still has to do.
    struct Work {
        bool hasCalls = false; ///< at its ingress or its owner
        bool hasUnwritten = false; ///< answers that the sockets of callers have not taken, or requests read
        bool hasUnsaid = false; ///< what its records have to say before it is gone
    };
    enum class Step {
        Stay,
        AnswerAll, ///< the limit is reached: what has no answer yet must get one now; told once
        Drained,
        OutOfTime,
    };

    /// \param lingering after the last call is answered a node waits so long for another one on its way.
    explicit DrainEnd(Duration lingering)
        : m_lingering(lingering)
    {
    }

    /// \param limit by which what is in progress has to be answered.
    void begin(Instant limit, Instant now)
    {
        m_limit = limit;
        m_lastBusy = now;
    }

    /// \brief To be asked again and again from begin() on.
    Step next(const Work& work, Instant now);

    /// \returns how long messages that are queued for peers may take to go out once the node has ended.
    Duration lingerFor(Instant now) const;

private:
    Duration m_lingering;
    Instant m_limit {};
    Instant m_lastBusy {};
    bool m_hasAnsweredAll = false;
};

} // namespace robinrun
