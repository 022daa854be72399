#include "ControlModel.h"

namespace robinrun::support {
namespace {

    constexpr Duration tickInterval = 100ms;
    constexpr const char* configStream = "config";
    /// Three round trips inside a hall.
    constexpr Duration linkSetupTime = 3ms;
    /// The longest interval between ZeroMQ's attempts to reconnect to a node that was down.
    constexpr double maxReconnectSeconds = 2;

    proto::Resource exampleService(const std::string& name, std::uint32_t deadline)
    {
        proto::Resource out;
        out.set_name(name);
        out.mutable_service()->set_deadline_ms(deadline);
        out.mutable_service()->set_queue_limit(100);
        return out;
    }

    Charts loadCharts()
    {
        return Charts::load(CHARTS_FOLDER).value();
    }

} // namespace

/// \brief The shared log as seen by one process of a node; drops callbacks once the process has ended.
class ControlModel::ProcessLog : public AppendLog {
public:
    ProcessLog(FakeLog& log, std::shared_ptr<bool> processAlive, std::uint64_t& readCount)
        : m_log(&log)
        , m_processAlive(std::move(processAlive))
        , m_readCount(&readCount)
    {
    }
    void append(const std::string& name, std::string record, Appended done) override
    {
        m_log->append(name, std::move(record),
            [processAlive = m_processAlive, done](Result<std::uint64_t, PlatformError> offset) {
                if (*processAlive)
                    done(std::move(offset));
            });
    }
    void read(
        const std::string& name, std::uint64_t from, std::size_t limit, Duration wait, Read done) override
    {
        ++*m_readCount;
        m_log->read(name, from, limit, wait,
            [processAlive = m_processAlive, done](Result<LogPage, PlatformError> page) {
                if (*processAlive)
                    done(std::move(page));
            });
    }

private:
    FakeLog* m_log;
    std::shared_ptr<bool> m_processAlive;
    std::uint64_t* m_readCount;
};

/// \brief The platform's host list as seen by one process of a node.
class ControlModel::ProcessHostList : public HostList {
public:
    ProcessHostList(ControlModel& model, std::shared_ptr<bool> processAlive)
        : m_model(&model)
        , m_processAlive(std::move(processAlive))
    {
    }
    void fetch(std::uint64_t version, Done done) override
    {
        m_model->m_loop.after(5ms, [this, version, processAlive = m_processAlive, done = std::move(done)] {
            if (!*processAlive)
                return;
            auto page = m_model->hostPage();
            if (page.version <= version)
                page.hosts.clear();
            done(std::move(page));
        });
    }

private:
    ControlModel* m_model;
    std::shared_ptr<bool> m_processAlive;
};

ControlModel::ControlModel(std::uint64_t seed, Options options)
    : m_options(options)
    , m_random(seed)
    , m_log(m_loop, seed + 1, options.logFaults)
    , m_regionCutUntil(static_cast<std::size_t>(options.regions))
{
    const int halls = options.regions * options.hallsPerRegion;
    for (int i = 0; i < halls * options.nodesPerHall; ++i) {
        Node node;
        node.name = "n" + std::to_string(i);
        node.address = "10.0.0.1:" + std::to_string(i + 1);
        node.region = i % options.regions;
        m_nodeIndexByAddress[node.address] = m_nodes.size();
        const auto hall = "hall-" + std::to_string(i % halls);
        m_hostEntries[node.name]
            = { node.name, node.address, hall, "region-" + std::to_string(node.region), false };
        m_nodes.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        start(i);
}

HostPage ControlModel::hostPage() const
{
    HostPage page { m_hostListVersion, true, {}, {} };
    for (const auto& it : m_hostEntries)
        page.hosts.push_back(it.second);
    return page;
}

void ControlModel::start(std::size_t index)
{
    auto& node = m_nodes[index];
    node.processAlive = std::make_shared<bool>(true);
    std::erase_if(m_links, [index](const auto& it) { return it.first.first == index; });
    node.appliedOffset = 0;
    node.appliedAt.clear();
    static const auto charts = loadCharts();
    node.context = std::make_unique<NodeContext>(NodeContext { {}, charts, nullptr, ++m_lastIncarnation, {},
        {}, Random(m_lastIncarnation), [this] { return m_loop.now(); }, [this] { return m_log.wallMs(); } });
    auto& settings = node.context->settings;
    settings.name = node.name;
    settings.dataHall = m_hostEntries[node.name].dataHall;
    settings.region = m_hostEntries[node.name].region;
    settings.listen.peers = node.address;
    settings.control.readers = 2;
    settings.control.fanOut = 4;
    settings.control.digestEvery = 2s;
    settings.control.bytesPerSecond = m_options.bytesPerSecond;
    node.log = std::make_unique<ProcessLog>(m_log, node.processAlive, m_logReadCount);
    node.hosts = std::make_unique<ProcessHostList>(*this, node.processAlive);
    PeerLinks peers;
    peers.send = [this, index](const std::string& address, proto::PeerMessage& message, Instant) {
        return send(index, address, message);
    };
    peers.answer = [this, index](const PeerSocket::Sender& to, proto::PeerMessage& message, Instant) {
        const auto requester = m_nodeIndexByAddress.at(to.address);
        const bool isSameProcess
            = isLive(requester) && m_nodes[requester].context->incarnation == to.incarnation;
        if (isSameProcess)
            transmit(index, requester, message);
        return isSameProcess;
    };
    node.plane = std::make_unique<ControlPlane>(*node.context, *node.log, *node.hosts, peers, m_loop.now());
    node.plane->onChanged([this, index] { onConfigChanged(index); });
    const auto processAlive = node.processAlive;
    m_loop.after(fromSeconds(m_random.unit() * toSeconds(tickInterval)), [this, index, processAlive] {
        if (*processAlive)
            tick(index);
    });
}

void ControlModel::stop(std::size_t index)
{
    auto& node = m_nodes[index];
    *node.processAlive = false;
    node.plane.reset();
}

void ControlModel::tick(std::size_t index)
{
    auto& node = m_nodes[index];
    const auto next = std::max(m_loop.now() + tickInterval, node.pausedUntil);
    m_loop.at(next, [this, index, processAlive = node.processAlive] {
        if (*processAlive)
            tick(index);
    });
    node.plane->tick(m_loop.now());
}

void ControlModel::onConfigChanged(std::size_t index)
{
    auto& node = m_nodes[index];
    const auto appliedOffset = node.plane->follower().nextOffset();
    m_offsetDecreases += appliedOffset < node.appliedOffset;
    node.appliedOffset = appliedOffset;
    node.appliedAt.emplace(appliedOffset, m_loop.now());
}

SendResult ControlModel::send(std::size_t from, const std::string& address, const proto::PeerMessage& message)
{
    const auto it = m_nodeIndexByAddress.find(address);
    if (it == m_nodeIndexByAddress.end() || !isLive(it->second))
        return SendResult::Unreachable;
    const auto state = checkLink(from, it->second);
    if (state == SendResult::Sent)
        transmit(from, it->second, message);
    return state;
}

SendResult ControlModel::checkLink(std::size_t from, std::size_t to)
{
    const auto now = m_loop.now();
    const auto& processAlive = m_nodes[to].processAlive;
    auto& link = m_links[{ from, to }];
    const bool isNew = link.usableFrom == Instant {};
    if (isNew)
        link.usableFrom = now + linkSetupTime;
    else if (link.connectedProcess && link.connectedProcess != processAlive
        && link.connectingProcess != processAlive) {
        link.usableFrom = now + fromSeconds(m_random.unit() * maxReconnectSeconds);
        link.connectingProcess = processAlive;
    }
    if (now < link.usableFrom)
        return link.connectedProcess ? SendResult::Unreachable : SendResult::Connecting;
    link.connectedProcess = processAlive;
    return SendResult::Sent;
}

void ControlModel::transmit(std::size_t from, std::size_t to, const proto::PeerMessage& message)
{
    const auto& sender = m_nodes[from];
    const auto& target = m_nodes[to];
    const bool isCut = sender.region != target.region
        && (m_loop.now() < m_regionCutUntil[sender.region] || m_loop.now() < m_regionCutUntil[target.region]);
    ++m_sentMessages;
    m_sentBytes += message.ByteSizeLong();
    m_sentBytesByNode[from] += message.ByteSizeLong();
    if (isCut || m_random.chance(m_options.lossProbability))
        return; // lost; the sender isn't told
    const PeerSocket::Sender senderInfo { sender.name, sender.address, sender.context->incarnation,
        sender.name };
    const auto arrival
        = m_loop.now() + fromSeconds(m_random.exponential(sender.region == target.region ? 0.001 : 0.03));
    m_loop.at(arrival, [this, to, senderInfo, message] { deliver(to, senderInfo, message); });
}

void ControlModel::deliver(
    std::size_t to, const PeerSocket::Sender& sender, const proto::PeerMessage& message)
{
    auto& node = m_nodes[to];
    if (!node.plane)
        return;
    if (m_loop.now() < node.pausedUntil) {
        m_loop.at(node.pausedUntil, [this, to, sender, message] { deliver(to, sender, message); });
        return;
    }
    auto copy = message;
    node.plane->take(sender, copy, m_loop.now());
}

void ControlModel::cutRegion(int region, Instant end)
{
    m_regionCutUntil[static_cast<std::size_t>(region)] = end;
}

std::string ControlModel::appendChange(std::size_t index, const std::string& name, std::uint64_t base)
{
    proto::ChangeRecord change;
    change.set_id(m_nodes[index].name + "-" + std::to_string(++m_changeCount));
    change.set_who("operator-" + std::to_string(index));
    change.set_base_version(base);
    *change.mutable_put() = exampleService(name, static_cast<std::uint32_t>(1000 + m_changeCount));
    m_log.append(
        configStream, change.SerializeAsString(), [](const Result<std::uint64_t, PlatformError>&) {});
    return change.id();
}

bool ControlModel::hasConverged()
{
    const auto end = m_log.page(configStream, UINT64_MAX, 0).end;
    std::optional<std::uint64_t> digest;
    for (const auto& it : m_nodes) {
        if (!it.plane)
            continue;
        const auto& state = it.plane->follower().state();
        if (state.nextOffset() != end || (digest && *digest != state.digest()))
            return false;
        digest = state.digest();
    }
    return true;
}

std::optional<Instant> ControlModel::appliedAt(std::size_t index, std::uint64_t offset) const
{
    const auto it = m_nodes[index].appliedAt.upper_bound(offset);
    if (it == m_nodes[index].appliedAt.end())
        return std::nullopt;
    return it->second;
}

} // namespace robinrun::support
