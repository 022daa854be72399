#pragma once

#include "Http/HttpServer.h"
#include "Node/ControlPlane.h"
#include "Node/NodeContext.h"
#include "Node/OperatorJson.h"
#include "Node/Timer.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace robinrun {

/// \brief The operators' HTTP API under /v1/, and /metrics and /health.
///
/// A write is an append; it is answered once this node has read its own record back and so knows its fate.
/// \sa docs/API.md
class OperatorApi {
public:
    OperatorApi(
        NodeContext& context, ControlPlane& control, AppendLog& log, std::function<NodeFacts()> facts);

    void take(std::unique_ptr<HttpExchange> exchange, Instant now);

    /// \brief The configuration has changed: writes may be decided, watches answered.
    void changed(Instant now);

    /// \brief Timed work: writes and watches that have waited long enough.
    void tick(Instant now);

private:
    struct Request {
        std::string method;
        std::vector<std::string> path; ///< below /v1
        std::map<std::string, std::string> query;
        std::string who;
    };
    /// A write that waits for its fate.
    struct Write {
        std::string id;
        std::string name;
        std::unique_ptr<HttpExchange> exchange;
        Instant since;
        bool isAppended = false; ///< the log has said so
        bool isUncertain = false; ///< the append's reply was lost
    };
    struct Watch {
        std::uint64_t from;
        std::unique_ptr<HttpExchange> exchange;
        Instant until;
    };

    std::optional<std::string> authenticate(const HttpExchange& exchange) const;
    void route(const Request& request, std::unique_ptr<HttpExchange> exchange, Instant now);
    void list(const std::string& kind, HttpExchange& exchange) const;
    void get(const std::string& name, HttpExchange& exchange) const;
    void write(const Request& request, std::unique_ptr<HttpExchange> exchange, Instant now);
    std::optional<std::uint64_t> baseVersion(HttpExchange& exchange) const;
    bool buildChange(const Request& request, const std::string& name, HttpExchange& exchange,
        proto::ChangeRecord& change) const;
    void append(const proto::ChangeRecord& change, std::unique_ptr<HttpExchange> exchange, Instant now);
    void appended(const std::string& id, const Result<std::uint64_t, PlatformError>& offset);
    void answerFate(const proto::Fate& fate, const std::string& name, HttpExchange& exchange) const;
    void answerUndecided(const Write& write, bool isLogOut) const;
    void operation(const std::string& id, HttpExchange& exchange) const;
    void watch(const Request& request, std::unique_ptr<HttpExchange> exchange, Instant now);
    bool answerWatch(const Watch& watch, bool isLast) const;
    void status(std::unique_ptr<HttpExchange> exchange, Instant now);
    void health(HttpExchange& exchange) const;

    NodeContext* m_context;
    ControlPlane* m_control;
    AppendLog* m_log;
    std::function<NodeFacts()> m_facts;
    std::uint64_t m_lastChange = 0;
    std::vector<Write> m_writes;
    std::vector<Watch> m_watches;
};

} // namespace robinrun
