#include "support/childprocess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace oleandergate::support {

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (!logFile.empty()) {
        constexpr mode_t mode = 0644;
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    }
    const int failed = posix_spawn(&this->pid, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
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

void ChildProcess::freeze() const
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
