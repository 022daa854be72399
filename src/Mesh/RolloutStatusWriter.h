#pragma once

#include "Core/Time.h"
#include "Mesh/MeshFormats.h"
#include "Platform/RecordStore.h"
#include "Rollout/RolloutOrder.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace robinrun {

/// \brief Writes the status of roll-outs to the store so that each order ends there once.
///
/// A status is written only if the store has not changed since it was read, and never over the end of the
/// same order or the status of a later one. So when two nodes decide differently, or a write takes effect
/// late, the first end that the store takes is the only one, and both learn which.
/// Cost: two calls of the store per status, and one at a time per service.
class RolloutStatusWriter {
public:
    /// \param outcome that the store holds, for the order with the number \a id.
    using WrittenHandler = std::function<void(std::uint64_t id, RolloutOutcome outcome)>;

    /// \param formats and \a store must outlive this.
    RolloutStatusWriter(const MeshFormats& formats, RecordStore& store, WrittenHandler onWritten);
    ~RolloutStatusWriter();
    RolloutStatusWriter(const RolloutStatusWriter&) = delete;
    RolloutStatusWriter& operator=(const RolloutStatusWriter&) = delete;

    /// \brief Writes \a outcome of \a order unless a call for its service is under way or a former one failed
    /// a moment ago.
    void write(const RolloutOrder& order, RolloutOutcome outcome, Instant now);

    std::uint64_t calls() const { return m_callCount; }
    std::uint64_t failures() const { return m_failureCount; }

private:
    struct Service {
        bool isBusy = false;
        Instant retryAt {};
    };

    void onRead(
        const RolloutOrder& order, RolloutOutcome outcome, const Result<KeyedPage, PlatformError>& page);
    void onFailed(const RolloutOrder& order, const PlatformError& error);
    void finish(const RolloutOrder& order, RolloutOutcome stored);

    const MeshFormats* m_formats;
    RecordStore* m_store;
    WrittenHandler m_onWritten;
    std::map<std::string, Service> m_services;
    std::uint64_t m_callCount = 0;
    std::uint64_t m_failureCount = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace robinrun
