#pragma once

#include "Http/HttpServer.h"
#include "Loopback.h"
#include "Platform/HttpPlatform.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <openssl/evp.h>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace robinrun::support {

/// \brief A small store of keyed topics in the words of the users' platform, with its outages.
class FakeStore {
public:
    enum class Mode {
        Up,
        Refusing, ///< 503: nothing was done
        Silent, ///< no answer; nothing was done
        Losing, ///< writes are done, answers get lost
    };

    explicit FakeStore(event_base* base)
        : m_base(base)
    {
        HttpServer::Options options;
        options.address = address;
        m_server = std::move(
            HttpServer::listen(base, options, [this](auto exchange) { take(std::move(exchange)); }).value());
    }

    /// \brief Writes a record as the operator would, whatever the mode; waiting reads are answered.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        auto& log = m_topics[topic];
        log.records.push_back({ key, value });
        wake(topic);
    }

    /// \brief Appends bytes that need not hold a key and a value.
    void putRaw(const std::string& topic, const std::string& bytes)
    {
        m_topics[topic].records.push_back({ "", "", bytes });
        wake(topic);
    }

    /// \returns how many reads wait for news.
    std::size_t waiting() const { return m_waiting.size(); }

    /// \brief Forgets the reads that wait: their connections stay, but they are never answered.
    void forgetWaiting()
    {
        for (auto& it : m_waiting)
            m_held.push_back(std::move(it.exchange));
        m_waiting.clear();
    }

    /// \brief Forgets all records but the newest of each key.
    void compact(const std::string& topic) { m_topics[topic].first = m_topics[topic].records.size(); }

    /// \returns the value written last under \a key; "" if there is none.
    std::string newest(const std::string& topic, const std::string& key) const
    {
        const auto it = m_topics.find(topic);
        if (it == m_topics.end())
            return "";
        std::string out;
        for (const auto& record : it->second.records) {
            if (record.key == key)
                out = record.value;
        }
        return out;
    }

    /// \brief Keeps a copy of all that is there now, to come back from.
    void keepCopy() { m_copy = m_topics; }

    /// \brief Comes back from the copy: what was written since is gone, offsets are given out again. Reads
    /// that wait go on waiting, with the offsets that they named.
    void comeBack()
    {
        m_topics = m_copy;
        era = era.value_or(0) + 1;
        const auto topics = m_topics;
        for (const auto& [topic, log] : topics)
            wake(topic);
    }

    std::optional<std::uint64_t> era; ///< named in all answers; nothing for a store that knows none
    bool mayWaitBeyondEnd = false; ///< whether a read from an offset that isn't there waits for it
    std::string address = freeAddress();
    Mode mode = Mode::Up;
    int calls = 0; ///< of any kind, answered or not
    int writes = 0; ///< done, answered or not

private:
    struct Record {
        std::string key;
        std::string value;
        std::optional<std::string> raw {}; ///< the record as it is read, if it isn't key and value
    };
    struct Log {
        std::vector<Record> records;
        std::size_t first = 0; ///< offset of the oldest record that is kept
    };
    struct Waiting {
        std::uint64_t id;
        std::string topic;
        std::size_t from;
        std::unique_ptr<HttpExchange> exchange;
        Timer limit; ///< of its wait
    };

    HttpHeaders headers() const
    {
        return era ? HttpHeaders { { "Store-Era", std::to_string(*era) } } : HttpHeaders {};
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos)
            return "";
        const auto begin = at + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    static std::string base64(const std::string& value)
    {
        std::string out(4 * ((value.size() + 2) / 3), '\0');
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
            reinterpret_cast<const unsigned char*>(value.data()), static_cast<int>(value.size()));
        return out;
    }

    void take(std::unique_ptr<HttpExchange> exchange)
    {
        ++calls;
        if (mode == Mode::Refusing)
            return exchange->reply({ 503, headers(), {} });
        const auto target = exchange->request().target;
        const auto topic = parameter(target, "topic");
        if (mode == Mode::Silent) {
            m_held.push_back(std::move(exchange));
            return;
        }
        if (target.starts_with("/log-append"))
            return append(topic, std::move(exchange));
        if (target.starts_with("/log-newest"))
            return exchange->reply({ 200, headers(), newestText(topic) });
        const auto from = std::stoull(parameter(target, "from"));
        const auto wait = Duration(std::stoll(parameter(target, "wait_ms")) * 1000);
        const auto id = ++m_lastWaiting;
        auto limit = Timer::once(m_base, wait, [this, id] { expire(id); });
        m_waiting.push_back({ id, topic, from, std::move(exchange), std::move(limit) });
        wake(topic);
    }

    /// \brief Ends a wait without news; a store that is away then says nothing.
    void expire(std::uint64_t id)
    {
        const auto it = std::find_if(
            m_waiting.begin(), m_waiting.end(), [id](const auto& waiting) { return waiting.id == id; });
        auto exchange = std::move(it->exchange);
        if (mode == Mode::Silent || mode == Mode::Refusing)
            m_held.push_back(std::move(exchange));
        else
            exchange->reply({ 200, headers(), std::string(16, '\0') });
        std::erase_if(m_waiting, [](const auto& waiting) { return !waiting.exchange; });
    }

    void append(const std::string& topic, std::unique_ptr<HttpExchange> exchange)
    {
        const auto expectedEnd = parameter(exchange->request().target, "current_rev");
        if (!expectedEnd.empty() && std::stoull(expectedEnd) != m_topics[topic].records.size())
            return exchange->reply({ 412, headers(), "{}" });
        ++writes;
        const auto records = *unframeRecords(exchange->request().body);
        for (const auto& it : records) {
            const auto n = static_cast<unsigned char>(it[0]);
            put(topic, it.substr(1, n), it.substr(1U + n));
        }
        if (mode == Mode::Losing)
            m_held.push_back(std::move(exchange));
        else
            exchange->reply({ 200, headers(), "{}" });
    }

    std::string newestText(const std::string& topic)
    {
        std::map<std::string, std::pair<std::string, std::size_t>> values;
        for (std::size_t i = 0; i < m_topics[topic].records.size(); ++i) {
            const auto& it = m_topics[topic].records[i];
            if (!it.raw)
                values[it.key] = { it.value, i };
        }
        std::string items;
        for (const auto& [key, newest] : values) {
            const auto& [value, offset] = newest;
            if (!value.empty())
                items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\""
                    + base64(value) + "\",\"offset\":" + std::to_string(offset) + "}";
        }
        return "{\"items\":[" + items
            + "],\"more_pages\":false,\"end\":" + std::to_string(m_topics[topic].records.size()) + "}";
    }

    void wake(const std::string& topic)
    {
        const auto& log = m_topics[topic];
        for (auto& it : m_waiting) {
            if (!it.exchange || it.topic != topic)
                continue;
            const bool isBeyondEnd = era && it.from > log.records.size() && !mayWaitBeyondEnd;
            if (it.from < log.first || isBeyondEnd) {
                std::exchange(it.exchange, nullptr)->reply({ 410, headers(), "{}" });
            } else if (it.from < log.records.size()) {
                std::vector<std::string> raw;
                for (auto i = it.from; i < log.records.size(); ++i) {
                    const auto& record = log.records[i];
                    raw.push_back(record.raw.value_or(
                        static_cast<char>(record.key.size()) + record.key + record.value));
                }
                std::exchange(it.exchange, nullptr)
                    ->reply({ 200, headers(), std::string(16, '\0') + frameRecords(raw) });
            }
        }
        std::erase_if(m_waiting, [](const auto& it) { return !it.exchange; });
    }

    event_base* m_base;
    std::uint64_t m_lastWaiting = 0;
    std::unique_ptr<HttpServer> m_server;
    std::map<std::string, Log> m_topics;
    std::map<std::string, Log> m_copy;
    std::deque<Waiting> m_waiting;
    std::vector<std::unique_ptr<HttpExchange>> m_held; ///< never answered
};

} // namespace robinrun::support
