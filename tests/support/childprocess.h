#ifndef OLEANDERGATE_SUPPORT_CHILDPROCESS_H
#define OLEANDERGATE_SUPPORT_CHILDPROCESS_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace oleandergate::support {

//! A program started by a test. It is killed when the object goes.
class ChildProcess
{
public:
    ChildProcess() = default;

    //! Starts \p command with its output appended to \p logFile; empty to share this program's output.
    ChildProcess(const std::vector<std::string> &command, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    //! Sends \p signal to the process.
    void signal(int signal) const;

    //! Stops the process and waits until all its threads stand still.
    void suspend() const;

    //! Kills the process and waits for its end.
    void kill();

    //! Waits for the process to end by itself. Returns its exit status, or -1 when it was ended by a signal.
    int wait();

    bool isRunning() const;
    pid_t id() const;

private:
    pid_t pid = 0;
};

} // namespace oleandergate::support

#endif
