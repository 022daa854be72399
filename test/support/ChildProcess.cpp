#include "support/ChildProcess.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace robinrun::support {

ChildProcess::ChildProcess(const std::vector<std::string>& argv, const std::string& logFile)
{
    m_pid = fork();
    if (m_pid < 0)
        throw std::runtime_error("can't start " + argv.front() + ": " + std::strerror(errno));
    if (m_pid > 0)
        return;
    close_range(STDERR_FILENO + 1, ~0U, 0); // the own sockets are not the program's
    prctl(PR_SET_PDEATHSIG, SIGKILL); // nothing is left over if the test itself is killed
    const int fd = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    std::vector<char*> raw;
    raw.reserve(argv.size() + 1);
    for (const auto& it : argv)
        raw.push_back(const_cast<char*>(it.c_str()));
    raw.push_back(nullptr);
    execv(raw.front(), raw.data());
    _exit(EXIT_FAILURE);
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : m_pid(std::exchange(other.m_pid, 0))
    , m_status(other.m_status)
{
}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept
{
    std::swap(m_pid, other.m_pid);
    std::swap(m_status, other.m_status);
    return *this;
}

ChildProcess::~ChildProcess()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    waitpid(m_pid, &m_status, 0);
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0)
        kill(m_pid, number);
}

bool ChildProcess::isRunning()
{
    if (m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid > 0;
}

} // namespace robinrun::support
