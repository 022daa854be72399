#pragma once

#include "Core/Result.h"
#include "Core/Time.h"
#include "Http/HttpPool.h"

#include <event2/event.h>
#include <memory>
#include <string>

namespace robinrun {

/// \brief Asks a node's operator port and waits for the answer; for programs that have nothing else to do.
class OperatorClient {
public:
    /// \param server ip:port of any node's operator port. \param token of an operator.
    OperatorClient(const std::string& server, std::string token);

    /// \param version for If-Match; empty: none is sent; "*": the resource must not exist yet.
    Result<HttpReply, HttpError> ask(const std::string& method, const std::string& path,
        const std::string& body = "", const std::string& version = "");

private:
    std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
    HttpPool m_pool;
    std::string m_token;
};

} // namespace robinrun
