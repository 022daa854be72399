#pragma once

#include "Core/Time.h"
#include "Http/HttpTypes.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace robinrun::soak {

/// \returns the value of the header field \a name; "" if there is none.
inline std::string headerOf(const HttpHeaders& headers, const char* name)
{
    return std::string(findHeader(headers, name).value_or(""));
}

/// \brief All that callers and backend servers have seen, and the promises that it must keep.
///
/// A broken promise is kept as a sentence with the request's id, to be looked up in the nodes' logs.
class Ledger {
public:
    /// Calls a second that the group "b" may make, and on top of that; few enough that it asks for more.
    static constexpr int boundedRate = 5;

    /// \brief A caller is about to send \a request to node \a node. \param groups that its key has belonged
    /// to in any configuration.
    /// \param nodeLife names this start of the node.
    void sent(const std::string& id, const HttpRequest& request, std::size_t node,
        const std::string& nodeLife, std::set<std::string> groups);

    /// \brief The backend server \a upstream of \a service starts to run what came as \a request.
    void ran(const HttpRequest& request, const std::string& upstream, const std::string& service);

    /// \brief The caller has its end: an answer, or none whose error is \a error.
    void answered(const std::string& id, const HttpReply& reply);
    /// \param isCalm whether nothing was harmed, so that an answer was due.
    void failed(const std::string& id, HttpErrorKind error, bool isCalm);

    /// \brief A request came to \a upstream so long after its node had acknowledged that it leaves.
    void ranAfterLeave(const std::string& id, const std::string& upstream, Duration after);

    /// \brief The backend server \a life names \a limit, in requests a second, in its answers from now on.
    void limitChanged(const std::string& life, std::optional<double> limit);

    /// \brief The request \a id has come to the backend server \a life, which may still refuse it. It keeps
    /// what it has said in answers to callers of the node where the request began.
    void arrived(const std::string& id, const std::string& life);

    /// \brief A request with \a target has crashed the server that ran it. Under three such, few more may
    /// reach servers while nothing is wrong (\a isCalm).
    void crashed(const std::string& target, bool isCalm);
    std::size_t crashes() const { return m_crashes; }

    /// \brief From now on \a service may run calls of the route "/which/", by configuration \a version.
    void allow(const std::string& service) { m_allowed.insert(service); }

    /// \returns the newest version that was seen in force in \a life of a node; 0 if none was.
    std::uint64_t seenVersion(const std::string& life) const;

    /// \brief A request showed that \a version is in force in \a life of a node; when it was sent, \a before
    /// had been seen there.
    void sawVersion(const std::string& life, std::uint64_t version, std::uint64_t before);

    /// \brief Keeps the sentence \a promise, which says what was broken.
    void broken(std::string promise) { m_broken.push_back(std::move(promise)); }
    const std::vector<std::string>& brokenPromises() const { return m_broken; }

    /// \returns the body that a backend server gives to the request \a id.
    static std::string bodyFor(const std::string& id, const std::string& upstream)
    {
        return "done " + id + " by " + upstream;
    }

    std::size_t requests() const { return m_requests.size(); }
    std::size_t served() const { return m_served; }
    std::size_t refused() const { return m_refused; }
    std::size_t runs() const { return m_runs; }

private:
    /// \brief A call of \a group has begun; the bounded one keeps its rate in any window.
    void noteGroup(const std::string& id, const std::string& group, const std::set<std::string>& allowed);

    struct Entry {
        HttpRequest request;
        std::size_t node = 0;
        std::string nodeLife;
        Instant sentAt {};
        std::set<std::string> groups;
        std::vector<std::string> ranAt;
        bool saidNotRun = false;
    };

    /// What a backend server has said in answers, by the lives of the nodes that passed them on.
    struct Statements {
        std::optional<double> limit;
        std::map<std::string, Instant> limitTold;
        std::map<std::string, Instant> leavingTold;
        std::deque<Instant> limitedArrivals; ///< of the last window, from nodes that were told
    };
    void passedOn(const std::string& nodeLife, const HttpReply& reply);

    std::unordered_map<std::string, Entry> m_requests;
    std::map<std::string, Statements> m_statements; ///< by life of the backend server
    std::set<std::string> m_allowed;
    std::map<std::string, std::uint64_t> m_versions;
    std::vector<std::string> m_broken;
    std::deque<Instant> m_boundedRuns; ///< of the last window
    std::size_t m_served = 0;
    std::size_t m_refused = 0;
    std::size_t m_runs = 0;
    std::size_t m_crashes = 0;
    std::size_t m_crashesInCalm = 0; ///< of those that come after the third
};

} // namespace robinrun::soak
