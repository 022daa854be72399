#include "Http/HttpStatus.h"
#include "Mesh/MeshNode.h"

#include <string>

/// \file The metrics and the readiness of a mesh node.

namespace robinrun {
namespace {

    using namespace httpStatus;
    constexpr double neverConfirmed = -1; // in the metrics, for an age

} // namespace

template <class Calls> void MeshNode::addStoreGauges(const std::string& kind, const Calls& calls)
{
    auto& metrics = m_context.metrics;
    const std::string total = "robinrun_store_calls_total{kind=\"" + kind + "\",outcome=";
    metrics.gauge(total + "\"done\"}", [&calls] { return double(calls.calls() - calls.failures()); });
    metrics.gauge(total + "\"failed\"}", [&calls] { return double(calls.failures()); });
}

void MeshNode::addBackendGauges()
{
    auto& metrics = m_context.metrics;
    metrics.gauge("robinrun_backend_cold_seconds",
        [this] { return toSeconds(m_owner->load(monotonicNow()).remainingWarmUp); });
    metrics.gauge(
        "robinrun_slots_in_use", [this] { return double(m_owner->load(monotonicNow()).slotsInUse); });
    metrics.gauge(
        "robinrun_calls_waiting", [this] { return double(m_owner->load(monotonicNow()).waitingCalls); });
    metrics.gauge("robinrun_backend_slowdown", [this] { return m_owner->load(monotonicNow()).slowdown; });
    metrics.gauge("robinrun_server_limit_per_second",
        [this] { return m_owner->serverLimit().value_or(Owner::noServerLimit); });
    metrics.gauge(
        "robinrun_upstream_ready_unproven", [this] { return m_readyProof.isWithholding() ? 1.0 : 0.0; });
    metrics.gauge("robinrun_backend_down", [this] { return m_owner->isBackendDown() ? 1.0 : 0.0; });
    metrics.gauge(
        "robinrun_backend_connections_total", [this] { return double(m_owner->connectionsOpened()); });
}

void MeshNode::addGauges()
{
    auto& metrics = m_context.metrics;
    metrics.gauge("robinrun_config_version", [this] { return double(m_config.version()); });
    metrics.gauge("robinrun_config_age_seconds", [this] { return toSeconds(monotonicNow() - m_adopted); });
    metrics.gauge("robinrun_config_confirmed_age_seconds", [this] {
        const auto age = m_group.confirmationAge(monotonicNow());
        return age ? toSeconds(*age) : neverConfirmed;
    });
    metrics.gauge("robinrun_store_era", [this] { return double(m_store->era().era()); });
    metrics.gauge("robinrun_store_era_age_seconds", [this] {
        const auto since = m_store->era().since();
        return since ? toSeconds(monotonicNow() - *since) : neverConfirmed;
    });
    metrics.gauge("robinrun_store_era_faults_total", [this] { return double(m_store->era().faults()); });
    metrics.gauge("robinrun_halls_emptied", [this] { return double(m_halls.emptiedHalls().size()); });
    metrics.gauge("robinrun_own_hall_emptied",
        [this] { return m_halls.isEmptied(m_context.settings.dataHall) ? 1.0 : 0.0; });
    metrics.gauge("robinrun_retries_saved", [this] { return m_ingress->savedRetries(); });
    metrics.gauge("robinrun_upstream_news_age_seconds",
        [this] { return toSeconds(m_ingress->meanNewsAge(monotonicNow())); });
    metrics.gauge("robinrun_requests_held", [this] { return double(m_context.crashes.holds().size()); });
    metrics.gauge("robinrun_crash_reports", [this] { return double(m_context.crashes.reportCount()); });
    addCallerGauges();
    addBackendGauges();
    addRolloutGauges();
    metrics.gauge("robinrun_ready", [this] { return isReady() ? 1.0 : 0.0; });
    metrics.gauge("robinrun_calls_in_progress", [this] { return double(m_ingress->inProgress()); });
    metrics.gauge("robinrun_peer_links", [this] { return double(m_peers->links()); });
    metrics.gauge("robinrun_nodes_known", [this] { return double(m_registry.nodes().size()); });
    metrics.gauge("robinrun_store_connected", [this] { return m_configFeed->isConnected() ? 1.0 : 0.0; });
    metrics.gauge(
        "robinrun_follows_configuration", [this] { return m_configFeed->isFollowing() ? 1.0 : 0.0; });
    metrics.gauge("robinrun_store_read_seconds{kind=\"read-configuration\"}",
        [this] { return toSeconds(m_configFeed->currentReadDuration(monotonicNow())); });
    metrics.gauge("robinrun_store_read_seconds{kind=\"read-nodes\"}",
        [this] { return toSeconds(m_nodesFeed->currentReadDuration(monotonicNow())); });
    metrics.gauge("robinrun_store_entries_unreadable",
        [this] { return double(m_configFeed->unreadableEntries() + m_nodesFeed->unreadableEntries()); });
    addStoreGauges("read-configuration", *m_configFeed);
    addStoreGauges("read-nodes", *m_nodesFeed);
    addStoreGauges("write-node", *m_writer);
}

void MeshNode::answerReadiness(HttpExchange& exchange) const
{
    const bool isAsked = exchange.request().target == m_formats.readinessPath;
    exchange.reply({ !isAsked ? notFound : isReady() ? ok : unavailable, {}, {} });
}

void MeshNode::answerMetrics(HttpExchange& exchange) const
{
    if (exchange.request().target != m_formats.metricsPath)
        return exchange.reply({ notFound, {}, {} });
    exchange.reply({ ok, { { "Content-Type", "text/plain; version=0.0.4" } }, m_context.metrics.text() });
}

} // namespace robinrun
