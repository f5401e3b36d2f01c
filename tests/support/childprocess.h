#ifndef OLEANDERGATE_SUPPORT_CHILDPROCESS_H
#define OLEANDERGATE_SUPPORT_CHILDPROCESS_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace oleandergate::support {

//! A program started by a test. It is killed when the object is destroyed.
class ChildProcess
{
public:
    ChildProcess() = default;

    //! Starts \p command, a program and its arguments. Output is appended to \p logFile, or goes to this program's output if
    //! that is empty. \p environment has additions to this program's environment, as NAME=VALUE. Throws std::runtime_error when no process can be created.
    ChildProcess(const std::vector<std::string> &command, const std::string &logFile, const std::vector<std::string> &environment = {});
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    //! Sends \p signal to the process.
    void signal(int signal) const;

    //! Sends SIGSTOP and waits until the whole process is stopped.
    void suspend() const;

    //! Kills the process and waits for its end.
    void kill();

    //! Waits for the process to exit. Returns its exit status, or -1 when it was ended by a signal.
    int wait();

    //! Returns whether the process was started and neither killed nor waited for.
    bool isRunning() const;
    pid_t id() const;

private:
    pid_t pid = 0;
};

} // namespace oleandergate::support

#endif
