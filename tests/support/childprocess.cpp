#include "support/childprocess.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <limits>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace oleandergate::support {

namespace {

constexpr int exitNotStarted = 127;

void redirectOutput(const char *file)
{
    constexpr mode_t mode = 0644;
    const int log = *file == '\0' ? -1 : ::open(file, O_WRONLY | O_CREAT | O_APPEND, mode);
    if (log >= 0) {
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
    }
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &logFile, const std::vector<std::string> &environment)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    this->pid = ::fork();
    if (this->pid == 0) {
        // The child is killed when the test ends, also if the test itself is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        redirectOutput(logFile.c_str());
        // A copy of a listening socket in the child would keep its port open after the test has closed it.
        ::close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned>::max(), 0);
        for (const std::string &variable : environment) {
            ::putenv(const_cast<char *>(variable.c_str()));
        }
        ::execv(arguments.front(), arguments.data());
        ::_exit(exitNotStarted);
    }
    if (this->pid < 0) {
        throw std::runtime_error("cannot start " + command.front());
    }
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : pid(std::exchange(other.pid, 0))
{
}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    if (this != &other) {
        this->kill();
        this->pid = std::exchange(other.pid, 0);
    }
    return *this;
}

void ChildProcess::signal(int signal) const
{
    if (this->pid > 0) {
        ::kill(this->pid, signal);
    }
}

void ChildProcess::suspend() const
{
    if (this->pid > 0) {
        ::kill(this->pid, SIGSTOP);
        ::waitpid(this->pid, nullptr, WUNTRACED);
    }
}

void ChildProcess::kill()
{
    if (this->pid > 0) {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = 0;
    }
}

int ChildProcess::wait()
{
    int status = 0;
    if (this->pid <= 0 || ::waitpid(this->pid, &status, 0) != this->pid) {
        return -1;
    }
    this->pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool ChildProcess::isRunning() const
{
    return this->pid > 0;
}

pid_t ChildProcess::id() const
{
    return this->pid;
}

} // namespace oleandergate::support
