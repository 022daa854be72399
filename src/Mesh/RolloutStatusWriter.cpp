#include "Mesh/RolloutStatusWriter.h"

#include "Core/Log.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace robinrun {
namespace {

    /// A status has to be there within a few seconds of the store's return.
    constexpr Duration retryDelay = 300ms;

    std::optional<RolloutStatus> findStatus(
        const MeshFormats& formats, const KeyedPage& page, const std::string& service)
    {
        const auto key = formats.rolloutStatusKey(service);
        const auto it = std::find_if(
            page.records.begin(), page.records.end(), [&](const auto& record) { return record.key == key; });
        return it == page.records.end() ? std::nullopt : formats.readRolloutStatus(it->value);
    }

} // namespace

RolloutStatusWriter::RolloutStatusWriter(
    const MeshFormats& formats, RecordStore& store, WrittenHandler onWritten)
    : m_formats(&formats)
    , m_store(&store)
    , m_onWritten(std::move(onWritten))
{
}

RolloutStatusWriter::~RolloutStatusWriter()
{
    *m_isAlive = false;
}

void RolloutStatusWriter::write(const RolloutOrder& order, RolloutOutcome outcome, Instant now)
{
    auto& service = m_services[order.service];
    if (service.isBusy || now < service.retryAt)
        return;
    service.isBusy = true;
    service.retryAt = now + retryDelay;
    ++m_callCount;
    m_store->newest(m_formats->rolloutStatusTopic,
        [this, order, outcome, isAlive = m_isAlive](const Result<KeyedPage, PlatformError>& page) {
            if (*isAlive)
                onRead(order, outcome, page);
        });
}

void RolloutStatusWriter::onRead(
    const RolloutOrder& order, RolloutOutcome outcome, const Result<KeyedPage, PlatformError>& page)
{
    if (!page)
        return onFailed(order, page.error());
    const auto known = findStatus(*m_formats, page.value(), order.service);
    const bool isOfOrder
        = known && known->orderOffset == order.position.offset && known->targetVersion == order.targetVersion;
    if (isOfOrder && (known->outcome == outcome || known->outcome != RolloutOutcome::Running))
        return finish(order, known->outcome);
    if (known && known->orderOffset > order.position.offset)
        return finish(order, outcome); // a later order has its own status there
    ++m_callCount;
    const RolloutStatus status { order.service, order.targetVersion, order.position.offset, outcome };
    m_store->writeIfUnchanged(m_formats->rolloutStatusTopic, m_formats->rolloutStatusKey(order.service),
        m_formats->writeRolloutStatus(status), page.value().next,
        [this, order, outcome, isAlive = m_isAlive](const Result<void, PlatformError>& result) {
            if (!*isAlive)
                return;
            if (!result)
                return onFailed(order, result.error());
            finish(order, outcome);
        });
}

void RolloutStatusWriter::onFailed(const RolloutOrder& order, const PlatformError& error)
{
    ++m_failureCount;
    m_services[order.service].isBusy = false;
    log(LogLevel::Warning, "rollout-status-not-written",
        { { "service", order.service }, { "error", nameOf(error.kind) }, { "message", error.message } });
}

void RolloutStatusWriter::finish(const RolloutOrder& order, RolloutOutcome stored)
{
    m_services[order.service].isBusy = false;
    m_onWritten(order.id(), stored);
}

} // namespace robinrun
