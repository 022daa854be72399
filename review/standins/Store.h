#pragma once

#include "Http/HttpServer.h"
#include "Node/Timer.h"

#include <cstdint>
#include <event2/event.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace robinrun::review {

/// \brief The platform's metadata store, as far as the nodes use it: keyed topics with one partition.
class Store {
public:
    Store(event_base* base, std::string address);

    const std::string& address() const { return m_address; }

    /// \brief Writes a record as the operator does; reads that wait are answered.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /// \brief While away, the store accepts connections and answers nothing.
    void setAway(bool isAway) { m_isAway = isAway; }

    /// \brief From now on each answer takes \a delay.
    void setDelay(Duration delay) { m_delay = delay; }

    /// \brief Calls \a f at each append of a node.
    void onAppend(std::function<void(const std::string& topic, const std::string& key)> f)
    {
        m_onAppend = std::move(f);
    }

private:
    struct Record {
        std::string key;
        std::string value;
    };
    struct Waiting {
        std::uint64_t number = 0;
        std::string topic;
        std::size_t from = 0;
        std::unique_ptr<HttpExchange> exchange;
        Timer limit;
    };

    void take(std::unique_ptr<HttpExchange> exchange);
    void answer(std::unique_ptr<HttpExchange> exchange);
    void append(const std::string& topic, HttpExchange& exchange);
    void answerNewest(const std::string& topic, HttpExchange& exchange);
    void read(const std::string& topic, std::unique_ptr<HttpExchange> exchange);
    void wake(const std::string& topic);
    std::string readBody(const std::string& topic, std::size_t from) const;

    event_base* m_base;
    std::string m_address;
    std::unique_ptr<HttpServer> m_server;
    std::map<std::string, std::vector<Record>> m_topics;
    std::vector<std::unique_ptr<Waiting>> m_waiting;
    std::vector<std::unique_ptr<HttpExchange>> m_unanswered;
    std::function<void(const std::string&, const std::string&)> m_onAppend;
    std::uint64_t m_lastNumber = 0;
    bool m_isAway = false;
    Duration m_delay = 4ms;
    std::map<std::uint64_t, std::pair<std::unique_ptr<HttpExchange>, Timer>> m_delayed;
};

} // namespace robinrun::review
