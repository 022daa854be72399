#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace robinrun::support {

/// \brief A program started by a test, known by its process id. Killed when destroyed.
class ChildProcess {
public:
    ChildProcess() = default;
    /// \brief Starts \a argv; what it writes is appended to \a logFile. \throws std::runtime_error.
    ChildProcess(const std::vector<std::string>& argv, const std::string& logFile);
    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    ~ChildProcess();

    /// \brief Sends \a number if the process is still there.
    void signal(int number) const;

    /// \returns the process id; 0 if there is no process or it has ended and was waited for.
    pid_t pid() const { return m_pid; }

    /// \returns whether it runs. Afterwards exitStatus() tells how it ended.
    bool isRunning();
    int exitStatus() const { return m_status; } ///< as of waitpid()

private:
    pid_t m_pid = 0; ///< 0: none, or it has ended and was waited for
    int m_status = 0;
};

} // namespace robinrun::support
