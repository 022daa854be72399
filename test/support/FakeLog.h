#pragma once

#include "Core/Random.h"
#include "Platform/AppendLog.h"
#include "VirtualLoop.h"

#include <map>
#include <string>
#include <vector>

namespace robinrun::support {

/// \brief A fake of the platform's log at its interface, in virtual time, with the faults of the real one.
class FakeLog : public AppendLog {
public:
    struct Faults {
        double loseReply = 0; ///< the append takes effect, its reply is lost
        double delayEffect = 0; ///< the asker gives up first, the append takes effect later
        double swallow = 0; ///< neither effect nor reply
        double refuse = 0; ///< refused for certain
        Duration slowest = 20ms;
        Duration patience = 200ms; ///< after which an asker is told `Uncertain`
    };

    FakeLog(VirtualLoop& loop, std::uint64_t seed, Faults faults)
        : m_loop(&loop)
        , m_random(seed)
        , m_faults(faults)
    {
    }

    /// \brief Nothing is taken or answered until \a end.
    void outageUntil(Instant end) { m_outageUntil = end; }

    /// \brief Forgets all but the last \a keep records of a stream.
    void trim(const std::string& stream, std::size_t keep)
    {
        auto& it = m_streams[stream];
        while (it.records.size() > keep) {
            it.keptSinceMs = it.appendedMs.front() + 1;
            it.records.erase(it.records.begin());
            it.appendedMs.erase(it.appendedMs.begin());
            ++it.first;
        }
    }

    /// \brief The log comes back empty, as another one.
    void replace()
    {
        m_streams.clear();
        m_logId += "'";
        m_createdMs = wallMs();
    }

    void append(const std::string& stream, std::string record, Appended done) override
    {
        const bool isOut = m_loop->now() < m_outageUntil;
        const double dice = m_random.unit();
        const auto& f = m_faults;
        if (isOut || dice < f.swallow)
            return fail(PlatformErrorKind::Uncertain, m_faults.patience, std::move(done));
        if (dice < f.swallow + f.refuse)
            return fail(PlatformErrorKind::Refused, delay(), std::move(done));
        const bool isLate = dice < f.swallow + f.refuse + f.delayEffect;
        const bool isLost = isLate || dice < f.swallow + f.refuse + f.delayEffect + f.loseReply;
        const auto when = isLate ? m_faults.patience + 10 * delay() : delay();
        m_loop->after(when, [this, stream, record = std::move(record), isLost, done] {
            auto& it = m_streams[stream];
            const auto offset = it.first + it.records.size();
            it.records.push_back(record);
            it.appendedMs.push_back(wallMs());
            if (!isLost)
                m_loop->after(delay(), [done, offset] { done(offset); });
        });
        if (isLost)
            fail(PlatformErrorKind::Uncertain, m_faults.patience, std::move(done));
    }

    void read(const std::string& stream, std::uint64_t from, std::size_t limit, Duration, Read done) override
    {
        if (m_loop->now() < m_outageUntil) {
            m_loop->after(m_faults.patience, [done = std::move(done)] {
                done(failure(PlatformError { PlatformErrorKind::Unreachable, "outage" }));
            });
            return;
        }
        m_loop->after(delay(),
            [this, stream, from, limit, done = std::move(done)] { done(page(stream, from, limit)); });
    }

    LogPage page(const std::string& stream, std::uint64_t from, std::size_t limit)
    {
        auto& it = m_streams[stream];
        const auto end = it.first + it.records.size();
        const auto start = std::max(std::min(from, end), it.first);
        LogPage out { m_logId, start, it.first, end, std::max(it.keptSinceMs, m_createdMs), {} };
        for (auto i = start; i < end && out.records.size() < limit; ++i)
            out.records.push_back(it.records[i - it.first]);
        return out;
    }

    /// \returns the wall clock of the virtual world, ms.
    std::int64_t wallMs() const { return epochMs + m_loop->now().time_since_epoch().count() / 1000; }

    static constexpr std::int64_t epochMs = 1700000000000;

private:
    struct Stream {
        std::uint64_t first = 0;
        std::vector<std::string> records;
        std::vector<std::int64_t> appendedMs;
        std::int64_t keptSinceMs = 0;
    };

    Duration delay()
    {
        return Duration(1 + static_cast<std::int64_t>(m_random.unit() * double(m_faults.slowest.count())));
    }

    void fail(PlatformErrorKind kind, Duration when, Appended done)
    {
        m_loop->after(when, [kind, done = std::move(done)] {
            done(failure(PlatformError { kind, "fault" }));
        });
    }

    VirtualLoop* m_loop;
    Random m_random;
    Faults m_faults;
    Instant m_outageUntil {};
    std::string m_logId = "log";
    std::int64_t m_createdMs = epochMs - 3600000;
    std::map<std::string, Stream> m_streams;
};

} // namespace robinrun::support
