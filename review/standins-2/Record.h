#pragma once

#include "Core/Time.h"

#include <fstream>
#include <iostream>
#include <map>
#include <string>

namespace review {

/// \brief The file in which a case writes what was sent, answered and run, with seconds since its start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_out(path)
        , m_start(robinrun::monotonicNow())
    {
    }

    void line(const std::string& text) { m_out << seconds() << ' ' << text << '\n'; }

    /// \brief As line(), and shown to who runs the case.
    void note(const std::string& text)
    {
        line(text);
        std::cout << seconds() << ' ' << text << '\n' << std::flush;
    }

    /// \brief An upstream has started to work on a request.
    void ran(const std::string& request, const std::string& upstream)
    {
        line("run " + request + " at " + upstream);
        m_ran[request] = upstream;
    }
    bool hasRun(const std::string& request) const { return m_ran.contains(request); }
    /// \returns the upstream that ran \a request last; "" if none did.
    std::string ranAt(const std::string& request) const
    {
        const auto it = m_ran.find(request);
        return it == m_ran.end() ? "" : it->second;
    }

private:
    double seconds() const { return robinrun::toSeconds(robinrun::monotonicNow() - m_start); }

    std::ofstream m_out;
    robinrun::Instant m_start;
    std::map<std::string, std::string> m_ran; ///< the upstream, by request
};

} // namespace review
