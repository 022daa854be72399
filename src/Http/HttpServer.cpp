#include "Http/HttpServer.h"

#include "Http/HttpRaw.h"
#include "Http/HttpStatus.h"

#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace robinrun {
namespace {

    constexpr std::uint16_t allMethods = 0x1ff; // evhttp's nine methods
    using namespace httpStatus;

    /// How much of a pipelined next request is read while one is answered.
    constexpr std::size_t pipelinedBytes = 64U << 10U;

} // namespace

bool splitAddress(const std::string& address, std::string& ip, std::uint16_t& port)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return false;
    ip = address.substr(0, colon);
    const char* first = address.data() + colon + 1;
    const char* last = address.data() + address.size();
    const auto [end, ec] = std::from_chars(first, last, port);
    return ec == std::errc() && end == last && first != last;
}

HttpExchange::HttpExchange(HttpServer& server, evhttp_request* raw)
    : m_server(&server)
    , m_raw(raw)
{
    m_request.method = internal::methodName(evhttp_request_get_command(raw));
    m_request.target = evhttp_request_get_uri(raw);
    m_request.headers = internal::readHeaders(evhttp_request_get_input_headers(raw));
    m_request.body = internal::readBody(evhttp_request_get_input_buffer(raw));
    char* ip = nullptr;
    std::uint16_t port = 0;
    if (auto* connection = evhttp_request_get_connection(raw)) {
        evhttp_connection_get_peer(connection, &ip, &port);
        m_peer = ip ? ip : "";
    }
    watchHangUp();
}

HttpExchange::~HttpExchange()
{
    m_onHangUp = nullptr;
    if (m_raw)
        reply({ internalError, {}, {} });
}

void HttpExchange::watchHangUp()
{
    auto* connection = evhttp_request_get_connection(m_raw);
    if (!connection)
        return;
    evhttp_connection_set_closecb(
        connection, [](evhttp_connection*, void* self) { static_cast<HttpExchange*>(self)->hungUp(); }, this);
    // evhttp stops reading while a request is answered, and so would not see the caller go. Reading goes on
    // here without a read callback: data of a next request stays in the buffer, up to a bound, an end is
    // noticed.
    auto* buffer = evhttp_connection_get_bufferevent(connection);
    bufferevent_data_cb writeDone = nullptr;
    bufferevent_event_cb ended = nullptr;
    void* argument = nullptr;
    bufferevent_getcb(buffer, nullptr, &writeDone, &ended, &argument);
    bufferevent_setcb(buffer, nullptr, writeDone, ended, argument);
    bufferevent_setwatermark(buffer, EV_READ, 0, pipelinedBytes);
    bufferevent_enable(buffer, EV_READ);
}

void HttpExchange::hungUp()
{
    // The request now belongs to this exchange; without a connection a reply only frees it.
    evhttp_send_reply(std::exchange(m_raw, nullptr), internalError, nullptr, nullptr);
    if (const auto f = std::exchange(m_onHangUp, nullptr))
        f();
}

void HttpExchange::reply(const HttpReply& reply)
{
    auto* raw = std::exchange(m_raw, nullptr);
    if (!raw)
        return;
    m_onHangUp = nullptr;
    if (auto* connection = evhttp_request_get_connection(raw)) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection), EV_READ, 0, 0);
    }
    auto* headers = evhttp_request_get_output_headers(raw);
    for (const auto& [name, value] : reply.headers) {
        if (!isHopByHop(name))
            evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (m_server->isClosing())
        evhttp_add_header(headers, "Connection", "close");
    if (!findHeader(reply.headers, "Content-Type"))
        evhttp_add_header(headers, "Content-Type", "text/plain");
    auto* body = evhttp_request_get_output_buffer(raw);
    evbuffer_add(body, reply.body.data(), reply.body.size());
    evhttp_send_reply(raw, reply.status, nullptr, nullptr);
}

HttpServer::HttpServer(evhttp* http, Handler handler)
    : m_http(http)
    , m_handler(std::move(handler))
{
}

Result<std::unique_ptr<HttpServer>, std::string> HttpServer::listen(
    event_base* base, const Options& options, Handler handler)
{
    std::string ip;
    std::uint16_t port = 0;
    if (!splitAddress(options.address, ip, port))
        return failure("'" + options.address + "' is no ip:port");
    std::unique_ptr<HttpServer> server(new HttpServer(evhttp_new(base), std::move(handler)));
    evhttp_set_max_body_size(server->m_http, static_cast<ev_ssize_t>(options.maxBody));
    evhttp_set_max_headers_size(server->m_http, static_cast<ev_ssize_t>(options.maxHeaders));
    evhttp_set_allowed_methods(server->m_http, allMethods);
    evhttp_set_timeout(server->m_http, static_cast<int>(toSeconds(options.idleTimeout)));
    evhttp_set_gencb(server->m_http, &HttpServer::handleRaw, server.get());
    server->m_socket = evhttp_bind_socket_with_handle(server->m_http, ip.c_str(), port);
    if (!server->m_socket)
        return failure("can't listen on " + options.address);
    return server;
}

HttpServer::~HttpServer()
{
    evhttp_free(m_http);
}

void HttpServer::stopAccepting()
{
    if (m_socket)
        evhttp_del_accept_socket(m_http, std::exchange(m_socket, nullptr));
}

void HttpServer::handleRaw(evhttp_request* raw, void* self)
{
    auto& server = *static_cast<HttpServer*>(self);
    server.m_handler(std::unique_ptr<HttpExchange>(new HttpExchange(server, raw)));
}

} // namespace robinrun
