#include "review/standins/Store.h"

#include "Platform/HttpPlatform.h"

#include <algorithm>
#include <openssl/evp.h>
#include <stdexcept>
#include <utility>

namespace robinrun::review {
namespace {

    std::string parameterOf(const std::string& target, const std::string& name)
    {
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto next = target.find('&', at + 1);
            const auto pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
            if (pair.starts_with(name + "="))
                return pair.substr(name.size() + 1);
            at = next;
        }
        return "";
    }

    std::string base64(const std::string& value)
    {
        std::string out(4 * ((value.size() + 2) / 3), '\0');
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
            reinterpret_cast<const unsigned char*>(value.data()), static_cast<int>(value.size()));
        return out;
    }

    std::string bigEndian(std::uint64_t n)
    {
        std::string out;
        for (int shift = 56; shift >= 0; shift -= 8)
            out += static_cast<char>((n >> static_cast<unsigned>(shift)) & 0xffU);
        return out;
    }

} // namespace

Store::Store(event_base* base, std::string address)
    : m_base(base)
    , m_address(std::move(address))
{
    HttpServer::Options options;
    options.address = m_address;
    options.maxBody = 4U << 20U;
    auto server = HttpServer::listen(base, options, [this](auto exchange) { take(std::move(exchange)); });
    if (!server)
        throw std::runtime_error(server.error());
    m_server = std::move(server.value());
}

void Store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    m_topics[topic].push_back({ key, value });
    wake(topic);
}

void Store::take(std::unique_ptr<HttpExchange> exchange)
{
    if (m_isAway) {
        m_unanswered.push_back(std::move(exchange));
        return;
    }
    const auto number = ++m_lastNumber;
    auto timer = Timer::once(m_base, m_delay, [this, number] {
        const auto it = m_delayed.find(number);
        auto exchange = std::move(it->second.first);
        m_delayed.erase(it);
        answer(std::move(exchange));
    });
    m_delayed.emplace(number, std::make_pair(std::move(exchange), std::move(timer)));
}

void Store::answer(std::unique_ptr<HttpExchange> exchange)
{
    const auto target = exchange->request().target;
    const auto topic = parameterOf(target, "topic");
    if (target.starts_with("/log-append"))
        return append(topic, *exchange);
    if (target.starts_with("/log-newest"))
        return answerNewest(topic, *exchange);
    if (target.starts_with("/log-read"))
        return read(topic, std::move(exchange));
    exchange->reply({ 404, {}, "" });
}

void Store::append(const std::string& topic, HttpExchange& exchange)
{
    auto& records = m_topics[topic];
    const auto first = records.size();
    const auto condition = parameterOf(exchange.request().target, "current_rev");
    if (!condition.empty() && std::stoull(condition) != first)
        return exchange.reply({ 412, {}, "{\"end\":" + std::to_string(first) + "}" });
    const auto frames = unframeRecords(exchange.request().body);
    if (!frames)
        return exchange.reply({ 400, {}, "" });
    for (const auto& it : *frames) {
        const auto keyBytes = static_cast<unsigned char>(it.at(0));
        records.push_back({ it.substr(1, keyBytes), it.substr(1U + keyBytes) });
        if (m_onAppend)
            m_onAppend(topic, records.back().key);
    }
    exchange.reply({ 200, { { "Content-Type", "application/json" } },
        "{\"offset\":" + std::to_string(first) + ",\"end\":" + std::to_string(records.size()) + "}" });
    wake(topic);
}

void Store::answerNewest(const std::string& topic, HttpExchange& exchange)
{
    const auto& records = m_topics[topic];
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < records.size(); ++i)
        newest[records[i].key] = i;
    std::string items;
    for (const auto& [key, i] : newest) {
        if (records[i].value.empty())
            continue;
        items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\""
            + base64(records[i].value) + "\",\"offset\":" + std::to_string(i) + "}";
    }
    exchange.reply({ 200, { { "Content-Type", "application/json" } },
        "{\"items\":[" + items + "],\"more_pages\":false,\"end\":" + std::to_string(records.size()) + "}" });
}

void Store::read(const std::string& topic, std::unique_ptr<HttpExchange> exchange)
{
    const auto& target = exchange->request().target;
    const auto from = std::stoull(parameterOf(target, "from"));
    const auto wait = std::chrono::milliseconds(std::stoll("0" + parameterOf(target, "wait_ms")));
    if (from > m_topics[topic].size())
        return exchange->reply({ 410, {}, "{\"first\":0}" });
    const auto number = ++m_lastNumber;
    auto waiting = std::make_unique<Waiting>();
    waiting->number = number;
    waiting->topic = topic;
    waiting->from = from;
    waiting->exchange = std::move(exchange);
    waiting->limit = Timer::once(m_base, std::max<Duration>(wait, 1ms), [this, number] {
        const auto it = std::find_if(
            m_waiting.begin(), m_waiting.end(), [&](const auto& read) { return read->number == number; });
        if (it == m_waiting.end())
            return;
        const auto ended = std::move(*it);
        m_waiting.erase(it);
        if (m_isAway)
            m_unanswered.push_back(std::move(ended->exchange));
        else
            ended->exchange->reply({ 200, {}, readBody(ended->topic, ended->from) });
    });
    m_waiting.push_back(std::move(waiting));
    wake(topic);
}

std::string Store::readBody(const std::string& topic, std::size_t from) const
{
    const auto& records = m_topics.at(topic);
    std::vector<std::string> raw;
    for (auto i = from; i < records.size(); ++i)
        raw.push_back(static_cast<char>(records[i].key.size()) + records[i].key + records[i].value);
    return bigEndian(records.size()) + bigEndian(0) + frameRecords(raw);
}

void Store::wake(const std::string& topic)
{
    if (m_isAway)
        return;
    std::vector<std::unique_ptr<Waiting>> ready;
    for (auto& it : m_waiting) {
        if (it->topic == topic && it->from < m_topics[topic].size())
            ready.push_back(std::move(it));
    }
    std::erase_if(m_waiting, [](const auto& it) { return !it; });
    for (auto& it : ready)
        it->exchange->reply({ 200, {}, readBody(topic, it->from) });
}

} // namespace robinrun::review
