#include "Node/ControlPlane.h"

#include "Core/Hash.h"
#include "Core/Log.h"

#include <algorithm>
#include <utility>

namespace robinrun {
namespace {

    constexpr const char* configStream = "config";
    constexpr std::size_t pageRecords = 500;
    constexpr Duration longWait = 5s;
    /// Bytes of a read beside its records: request and header fields.
    constexpr double pageOverhead = 400;
    constexpr Duration readRetry = 300ms;
    constexpr Duration reportLife = 12s;
    /// Snapshots by several nodes at once are harmless, but each is long: they wait a random time and look
    /// again.
    constexpr double snapshotSpreadSeconds = 20;

    /// Messages kept while their links are being opened, half a second at most: a node talks to fewer peers
    /// that are new to it.
    constexpr std::size_t maxOpening = 64;

    /// Bytes of a message beside its body: sender, incarnation, framing.
    constexpr double envelopeBytes = 60;
    constexpr double budgetBurstSeconds = 10;

    double budgetBurst(const NodeSettings& settings)
    {
        return settings.control.bytesPerSecond * budgetBurstSeconds;
    }

    /// \brief Counts the time of a scope as time spent on control.
    class TimeSpent {
    public:
        explicit TimeSpent(NodeContext& context)
            : m_context(&context)
            , m_start(context.clock())
        {
        }
        ~TimeSpent()
        {
            m_context->metrics.count(
                "robinrun_control_seconds_total", toSeconds(m_context->clock() - m_start));
        }
        TimeSpent(const TimeSpent&) = delete;
        TimeSpent& operator=(const TimeSpent&) = delete;

    private:
        NodeContext* m_context;
        Instant m_start;
    };

    HostEntry selfOf(const NodeSettings& settings)
    {
        return { settings.name, settings.listen.peers, settings.dataHall, settings.region, false };
    }

    ConfigDisseminator::Options spreadOptions(const NodeSettings& settings)
    {
        ConfigDisseminator::Options options;
        options.readersPerHall = settings.control.readers;
        options.fanOut = settings.control.fanOut;
        options.digestInterval = settings.control.digestEvery;
        return options;
    }

} // namespace

ControlPlane::ControlPlane(
    NodeContext& context, AppendLog& log, HostList& hosts, PeerLinks peers, Instant now)
    : m_context(&context)
    , m_log(&log)
    , m_hosts(&hosts)
    , m_peers(std::move(peers))
    , m_members(Membership::Options {})
    , m_spread(spreadOptions(context.settings), selfOf(context.settings), context.incarnation, now)
    , m_inForce(reportLife)
    , m_budget(context.settings.control.bytesPerSecond, budgetBurst(context.settings),
          budgetBurst(context.settings), now)
    , m_nextReport(now)
    , m_nextSnapshot(now)
{
}

bool ControlPlane::payFor(const proto::PeerMessage& message, Instant now)
{
    const auto bytes = static_cast<double>(message.ByteSizeLong()) + envelopeBytes;
    const bool isNeeded = message.has_records() || message.has_pull() || message.has_in_force_reply();
    // Configuration goes out on credit; the rest waits until that is paid, but not for ever.
    if (isNeeded)
        m_budget.takeAnyway(std::min(bytes, budgetBurst(m_context->settings)), now);
    else if (!m_budget.tryTake(bytes, now)) {
        m_context->metrics.count("robinrun_control_held_back_total");
        return false;
    }
    return true;
}

SendResult ControlPlane::post(const std::string& address, proto::PeerMessage& message, Instant now)
{
    if (!payFor(message, now))
        return SendResult::Connecting;
    const auto result = m_peers.send(address, message, now);
    if (result == SendResult::Connecting && m_opening.size() < maxOpening)
        m_opening.push_back({ address, std::move(message) });
    return result;
}

void ControlPlane::sendOpening(Instant now)
{
    for (auto& it : std::exchange(m_opening, {})) {
        if (m_peers.send(it.address, it.message, now) == SendResult::Connecting)
            m_opening.push_back(std::move(it));
    }
}

void ControlPlane::reply(const PeerSocket::Sender& sender, proto::PeerMessage& message, Instant now)
{
    if (payFor(message, now))
        m_peers.answer(sender, message, now);
}

SendResult ControlPlane::sendToNode(const std::string& name, proto::PeerMessage& message, Instant now)
{
    const auto* host = m_members.find(name);
    if (!host)
        return SendResult::Unreachable;
    const auto result = post(host->peerAddress, message, now);
    if (result == SendResult::Unreachable)
        m_members.suspect(name, now);
    return result;
}

void ControlPlane::readSoon(Instant now)
{
    m_readWanted = true;
    readLog(now);
}

void ControlPlane::readLog(Instant now)
{
    if (m_isReading || now < m_readAgainAt)
        return;
    m_isReading = true;
    m_readWanted = false;
    m_context->metrics.count("robinrun_log_reads_total");
    m_log->read(configStream, m_follower.nextReadOffset(), pageRecords, longWait,
        [this](Result<LogPage, PlatformError> page) {
            const auto end = m_context->clock();
            m_isReading = false;
            m_isLogAnswering = page.has_value();
            if (!page) {
                m_follower.onLogReadFailed();
                m_readAgainAt = end + readRetry;
                return;
            }
            takePage(page.value(), end);
        });
}

void ControlPlane::takePage(const LogPage& page, Instant now)
{
    const TimeSpent timeSpent(*m_context);
    double bytes = pageOverhead;
    for (const auto& it : page.records)
        bytes += static_cast<double>(it.size());
    m_context->metrics.count("robinrun_log_read_bytes_total", bytes);
    const auto before = m_follower.logState();
    const auto from = m_follower.nextOffset();
    const auto progress = m_follower.applyLogPage(page);
    m_spread.confirmUpToDate(now);
    if (m_follower.logState() != before)
        log(LogLevel::Info, "log-standing", { { "standing", nameOf(m_follower.logState()) } });
    if (progress == ConfigFollower::Progress::Advanced)
        advanced("", from, now);
    if (m_follower.logState() == LogFollowState::Diverged)
        m_readAgainAt = now + readRetry;
    const bool hasMore = !page.records.empty() && page.from + page.records.size() < page.end;
    if (hasMore || m_readWanted || isReader(now))
        readLog(now);
}

bool ControlPlane::take(const PeerSocket::Sender& sender, proto::PeerMessage& message, Instant now)
{
    const TimeSpent timeSpent(*m_context);
    m_members.clearSuspicion(sender.node);
    switch (message.body_case()) {
    case proto::PeerMessage::kRecords:
        takeRecords(sender, message.records(), now);
        return true;
    case proto::PeerMessage::kDigest:
        takeDigest(sender, message.digest(), now);
        return true;
    case proto::PeerMessage::kPull:
        answerRecords(sender, message.pull().next_offset(), now);
        return true;
    case proto::PeerMessage::kInForce:
        m_inForce.recordReport(sender.node, message.in_force(), now);
        return true;
    case proto::PeerMessage::kInForceRequest:
        answerCount(sender, message.in_force_request().number(), now);
        return true;
    case proto::PeerMessage::kInForceReply:
        takeCount(message.in_force_reply());
        return true;
    case proto::PeerMessage::kHostChanges:
        takeHosts(message.host_changes());
        return true;
    default:
        return false;
    }
}

void ControlPlane::appendSnapshot(Instant now)
{
    if (!m_follower.needsSnapshot()) {
        m_nextSnapshot = now + fromSeconds(m_context->random.unit() * snapshotSpreadSeconds);
        return;
    }
    if (now < m_nextSnapshot || !isReader(now))
        return;
    m_nextSnapshot = now + fromSeconds(snapshotSpreadSeconds);
    proto::ChangeRecord record;
    record.set_id(m_context->settings.name + "/snapshot/" + std::to_string(m_context->incarnation) + "/"
        + std::to_string(++m_snapshots));
    record.set_who(m_context->settings.name);
    record.set_written_at_ms(m_context->wallClock());
    *record.mutable_snapshot() = m_follower.state().snapshot();
    m_log->append(
        configStream, record.SerializeAsString(), [](const Result<std::uint64_t, PlatformError>&) {});
    m_context->metrics.count("robinrun_snapshots_total");
}

void ControlPlane::tick(Instant now)
{
    const TimeSpent timeSpent(*m_context);
    sendOpening(now);
    const auto step = m_spread.tick(m_members, m_follower.nextOffset(), m_isLogAnswering, now);
    const bool isBehindGap = m_follower.logState() == LogFollowState::Gap;
    if (step.shouldReadLog || m_readWanted || isBehindGap)
        readLog(now);
    if (step.shouldFetchHosts || !m_members.version())
        fetchHosts(now);
    for (const auto& it : step.digestPeers) {
        proto::PeerMessage message;
        message.mutable_digest()->set_next_offset(m_follower.nextOffset());
        message.mutable_digest()->set_log_id(m_follower.logId());
        message.mutable_digest()->set_hosts_version(m_members.version());
        sendToNode(it, message, now);
    }
    reportUp(now);
    expireCounts(now);
    appendSnapshot(now);
}

} // namespace robinrun
