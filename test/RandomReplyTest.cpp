/// \file Random bytes at the parser of replies, judged by a second reader that knows no more than the
/// grammar.

#include "Http/HttpTypes.h"
#include "support/ParsedReply.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cctype>
#include <charconv>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

using namespace robinrun;

namespace {

/// \brief Reads a reply off the start of some bytes that end with their connection (RFC 9112, 4 to 7).
class GrammarReader {
public:
    explicit GrammarReader(std::string_view bytes)
        : m_rest(bytes)
    {
    }

    /// \returns whether the bytes begin with a whole reply, behind any number of interim ones.
    bool isWhole()
    {
        while (true) {
            const auto status = readStatus();
            const auto fields = status ? readFields() : std::nullopt;
            if (!fields)
                return false;
            if (*status < 200)
                continue;
            return *status == 204 || *status == 304 || hasWholeBody(*fields);
        }
    }

private:
    static bool isText(std::string_view s)
    {
        return std::all_of(
            s.begin(), s.end(), [](unsigned char c) { return c == '\t' || (c >= ' ' && c != 0x7f); });
    }

    static bool isName(std::string_view s)
    {
        const std::string_view marks = "!#$%&'*+-.^_`|~";
        return !s.empty() && std::all_of(s.begin(), s.end(), [&](unsigned char c) {
            return (c < 0x80 && std::isalnum(c))
                || marks.find(static_cast<char>(c)) != std::string_view::npos;
        });
    }

    template <class T> static std::optional<T> number(std::string_view s, int radix)
    {
        T n = 0;
        const auto [end, ec] = std::from_chars(s.data(), s.data() + s.size(), n, radix);
        return ec == std::errc() && end == s.data() + s.size() ? std::optional(n) : std::nullopt;
    }

    std::optional<std::string_view> readLine()
    {
        const auto end = m_rest.find("\r\n");
        if (end == std::string_view::npos)
            return std::nullopt;
        const auto line = m_rest.substr(0, end);
        m_rest.remove_prefix(end + 2);
        return line;
    }

    std::optional<int> readStatus()
    {
        constexpr std::size_t versionBytes = 9;
        constexpr std::size_t prefixBytes = 13;
        const auto line = readLine();
        if (!line || line->size() < prefixBytes || !isText(*line) || line->at(prefixBytes - 1) != ' ')
            return std::nullopt;
        if (!line->starts_with("HTTP/1.1 ") && !line->starts_with("HTTP/1.0 "))
            return std::nullopt;
        const auto status = number<unsigned>(line->substr(versionBytes, 3), 10);
        const bool isStatus = status && *status >= 100 && *status <= 599 && *status != 101;
        return isStatus ? std::optional(static_cast<int>(*status)) : std::nullopt;
    }

    std::optional<HttpHeaders> readFields()
    {
        HttpHeaders fields;
        for (auto line = readLine(); line; line = readLine()) {
            if (line->empty())
                return fields;
            const auto colon = std::min(line->find(':'), line->size());
            if (colon == line->size() || !isName(line->substr(0, colon)) || !isText(*line))
                return std::nullopt;
            fields.emplace_back(line->substr(0, colon), line->substr(colon + 1));
        }
        return std::nullopt;
    }

    static std::vector<std::string_view> itemsOf(const HttpHeaders& fields, std::string_view name)
    {
        std::vector<std::string_view> items;
        for (const auto& [key, value] : fields) {
            if (equalIgnoringCase(key, name)) {
                const auto more = listItems(value);
                items.insert(items.end(), more.begin(), more.end());
            }
        }
        return items;
    }

    bool hasWholeBody(const HttpHeaders& fields)
    {
        const auto codings = itemsOf(fields, "Transfer-Encoding");
        const auto lengths = itemsOf(fields, "Content-Length");
        if (findHeader(fields, "Transfer-Encoding"))
            return lengths.empty() && codings.size() == 1 && equalIgnoringCase(codings[0], "chunked")
                && hasWholeChunks();
        if (!findHeader(fields, "Content-Length"))
            return true;
        const auto n = lengths.empty() ? std::nullopt : number<std::size_t>(lengths[0], 10);
        const bool isOne = std::all_of(
            lengths.begin(), lengths.end(), [&](auto it) { return number<std::size_t>(it, 10) == n; });
        return n && isOne && m_rest.size() >= *n;
    }

    bool hasWholeChunks()
    {
        while (const auto line = readLine()) {
            const auto n = number<std::size_t>(line->substr(0, line->find(';')), 16);
            if (!n)
                return false;
            if (*n == 0)
                return readFields().has_value();
            if (m_rest.size() < *n || m_rest.substr(*n, 2) != "\r\n")
                return false;
            m_rest.remove_prefix(*n + 2);
        }
        return false;
    }

    std::string_view m_rest;
};

} // namespace

TEST_CASE("Random bytes are never taken for a successful reply unless they are a whole one", "[reply]")
{
    constexpr int runs = 20000;
    const std::vector<std::string> tokens { "HTTP/1.1 ", "200 OK", "204 X", "103 X", "000 X", "\r\n",
        "\r\n\r\n", "\r", "\n", " ", "\t", ":", ": ", "X", "x: y",
        "Content-Length: ", "Transfer-Encoding: ", "chunked", "gzip", ",", ";", "0", "1", "3", "abc",
        std::string(1, '\0'), "\x01", "\x7f", "\xff" };
    const std::vector<std::string> beginnings { "", "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n", "HTTP/1.1 103 X\r\nX: y" };
    std::mt19937 random(71);
    const auto below = [&](std::size_t n) { return random() % n; };
    int whole = 0;
    for (int i = 0; i < runs; ++i) {
        std::string bytes = beginnings[below(beginnings.size())];
        for (auto n = below(12); n > 0; --n)
            bytes += tokens[below(tokens.size())];
        const auto reply = support::parsed(bytes, below(bytes.size() + 1));
        if (!reply || reply->status < 200 || reply->status > 299)
            continue;
        ++whole;
        CAPTURE(i, bytes);
        CHECK(GrammarReader(bytes).isWhole());
    }
    CHECK(whole > 0);
}
