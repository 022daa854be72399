#include "Client/OperatorClient.h"

#include <optional>

namespace robinrun {
namespace {

    /// Longer than a watch lasts at the server.
    constexpr Duration patience = 40s;

} // namespace

OperatorClient::OperatorClient(const std::string& server, std::string token)
    : m_base(event_base_new(), &event_base_free)
    , m_pool(m_base.get(), { server, 1, 64U << 20U, 30s })
    , m_token(std::move(token))
{
}

Result<HttpReply, HttpError> OperatorClient::ask(
    const std::string& method, const std::string& path, const std::string& body, const std::string& version)
{
    HttpRequest request { method, path, { { "Authorization", "Bearer " + m_token } }, body };
    if (version == "*")
        request.headers.emplace_back("If-None-Match", "*");
    else if (!version.empty())
        request.headers.emplace_back("If-Match", '"' + version + '"');
    std::optional<Result<HttpReply, HttpError>> result;
    m_pool.send(request, patience, [&](Result<HttpReply, HttpError> reply) {
        result = std::move(reply);
        event_base_loopbreak(m_base.get());
    });
    while (!result)
        event_base_dispatch(m_base.get());
    return std::move(*result);
}

} // namespace robinrun
