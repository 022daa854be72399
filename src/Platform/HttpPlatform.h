#pragma once

#include "Core/Time.h"
#include "Http/HttpPool.h"
#include "Platform/AppendLog.h"
#include "Platform/HostList.h"

#include <event2/event.h>
#include <memory>
#include <string>

namespace robinrun {

/// \brief The platform's log over its HTTP protocol (docs/PLATFORM.md).
class HttpAppendLog : public AppendLog {
public:
    HttpAppendLog(event_base* base, const std::string& address, Duration timeout);

    void append(const std::string& stream, std::string record, Appended done) override;
    void read(
        const std::string& stream, std::uint64_t from, std::size_t limit, Duration wait, Read done) override;

private:
    HttpPool m_pool;
    Duration m_timeout;
};

/// \brief The platform's host list over its HTTP protocol (docs/PLATFORM.md).
class HttpHostList : public HostList {
public:
    HttpHostList(event_base* base, const std::string& address, Duration timeout);

    void fetch(std::uint64_t version, Done done) override;

private:
    HttpPool m_pool;
    Duration m_timeout;
};

/// \brief Records of a page as the log's protocol frames them: 4 bytes of length, big-endian, then the
/// record.
std::string frameRecords(const std::vector<std::string>& records);

/// \returns the records; nothing if the frames don't add up.
std::optional<std::vector<std::string>> unframeRecords(std::string_view body);

} // namespace robinrun
