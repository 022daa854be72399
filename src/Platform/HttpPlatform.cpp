#include "Platform/HttpPlatform.h"

#include "Http/HttpStatus.h"

#include <charconv>
#include <sstream>

namespace robinrun {
namespace {

    constexpr std::size_t connections = 8;
    constexpr std::size_t frameHeader = 4;
    using namespace httpStatus;

    PlatformError translate(HttpError error)
    {
        const auto kind = error.kind == HttpErrorKind::NotConnected ? PlatformErrorKind::Unreachable
                                                                    : PlatformErrorKind::Uncertain;
        return { kind, std::string(nameOf(error.kind)) };
    }

    PlatformError refused(const HttpReply& reply)
    {
        return { PlatformErrorKind::Refused, "status " + std::to_string(reply.status) };
    }

    template <class T> std::optional<T> numberIn(const HttpHeaders& headers, std::string_view name)
    {
        const auto text = findHeader(headers, name);
        T n = 0;
        if (!text || std::from_chars(text->data(), text->data() + text->size(), n).ec != std::errc())
            return std::nullopt;
        return n;
    }

    Result<LogPage, PlatformError> parsePage(const HttpReply& reply)
    {
        const auto logId = findHeader(reply.headers, "Log-Id");
        const auto from = numberIn<std::uint64_t>(reply.headers, "From-Offset");
        const auto first = numberIn<std::uint64_t>(reply.headers, "First-Offset");
        const auto end = numberIn<std::uint64_t>(reply.headers, "End-Offset");
        const auto keptSince = numberIn<std::int64_t>(reply.headers, "Kept-Since-Ms");
        auto records = unframeRecords(reply.body);
        if (!logId || !from || !first || !end || !keptSince || !records)
            return failure(
                PlatformError { PlatformErrorKind::Malformed, "a page lacks a field or is cut short" });
        return LogPage { std::string(*logId), *from, *first, *end, *keptSince, std::move(*records) };
    }

    HostPage parseHosts(const HttpReply& reply)
    {
        HostPage page;
        page.version = numberIn<std::uint64_t>(reply.headers, "Version").value_or(0);
        page.isWhole = findHeader(reply.headers, "Whole") == "true";
        std::istringstream lines(reply.body);
        std::string line;
        while (std::getline(lines, line)) {
            std::istringstream fields(line);
            HostEntry host;
            std::string state;
            if (!(fields >> host.name >> host.peerAddress >> host.dataHall >> host.region >> state))
                continue;
            host.isLeaving = state == "leaving";
            if (state == "gone")
                page.gone.push_back(host.name);
            else
                page.hosts.push_back(host);
        }
        return page;
    }

} // namespace

std::string frameRecords(const std::vector<std::string>& records)
{
    std::string body;
    for (const auto& it : records) {
        for (int shift = 24; shift >= 0; shift -= 8)
            body += static_cast<char>((it.size() >> static_cast<unsigned>(shift)) & 0xffU);
        body += it;
    }
    return body;
}

std::optional<std::vector<std::string>> unframeRecords(std::string_view body)
{
    std::vector<std::string> records;
    while (!body.empty()) {
        if (body.size() < frameHeader)
            return std::nullopt;
        std::size_t n = 0;
        for (std::size_t i = 0; i < frameHeader; ++i)
            n = n << 8U | static_cast<unsigned char>(body[i]);
        if (body.size() - frameHeader < n)
            return std::nullopt;
        records.emplace_back(body.substr(frameHeader, n));
        body.remove_prefix(frameHeader + n);
    }
    return records;
}

HttpAppendLog::HttpAppendLog(event_base* base, const std::string& address, Duration timeout)
    : m_pool(base, { address, connections, 64U << 20U, 30s })
    , m_timeout(timeout)
{
}

void HttpAppendLog::append(const std::string& stream, std::string record, Appended done)
{
    const HttpRequest request { "POST", "/streams/" + stream + "/records", {}, std::move(record) };
    m_pool.send(request, m_timeout, [done = std::move(done)](Result<HttpReply, HttpError> reply) {
        if (!reply)
            return done(failure(translate(reply.error())));
        if (reply.value().status != created)
            return done(failure(refused(reply.value())));
        const auto offset = numberIn<std::uint64_t>(reply.value().headers, "Offset");
        if (!offset)
            return done(failure(PlatformError { PlatformErrorKind::Malformed, "no offset" }));
        done(*offset);
    });
}

void HttpAppendLog::read(
    const std::string& stream, std::uint64_t from, std::size_t limit, Duration wait, Read done)
{
    const auto target = "/streams/" + stream + "/records?from=" + std::to_string(from)
        + "&limit=" + std::to_string(limit) + "&wait_ms=" + std::to_string(wait.count() / 1000);
    m_pool.send({ "GET", target, {}, {} }, { .timeout = m_timeout + wait, .silence = m_timeout },
        [done = std::move(done)](Result<HttpReply, HttpError> reply) {
            if (!reply)
                return done(failure(translate(reply.error())));
            if (reply.value().status != ok)
                return done(failure(refused(reply.value())));
            done(parsePage(reply.value()));
        });
}

HttpHostList::HttpHostList(event_base* base, const std::string& address, Duration timeout)
    : m_pool(base, { address, 1, 16U << 20U, 30s })
    , m_timeout(timeout)
{
}

void HttpHostList::fetch(std::uint64_t version, Done done)
{
    const HttpRequest request { "GET", "/hosts?since=" + std::to_string(version), {}, {} };
    m_pool.send(request, { .timeout = m_timeout, .silence = m_timeout },
        [done = std::move(done)](Result<HttpReply, HttpError> reply) {
            if (!reply)
                return done(failure(translate(reply.error())));
            if (reply.value().status != ok)
                return done(failure(refused(reply.value())));
            done(parseHosts(reply.value()));
        });
}

} // namespace robinrun
