#ifndef OLEANDERGATE_TESTS_SUPPORT_PROCESSUSAGE_H
#define OLEANDERGATE_TESTS_SUPPORT_PROCESSUSAGE_H

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <thread>

namespace oleandergate::support {

//! What a process uses at a moment.
struct ProcessUsage
{
    std::size_t memoryBytes = 0; //!< Resident memory.
    std::size_t unreadBytes = 0; //!< What has arrived on its TCP connections and was not read.
    std::size_t descriptors = 0;

    //! Returns the bytes that count toward the memory of the process's machine.
    std::size_t countedBytes() const
    {
        return this->memoryBytes + this->unreadBytes;
    }
};

//! Returns what the process \p process uses, from /proc; zeros for one that has ended.
ProcessUsage usageOf(pid_t process);

//! Reads again and again what a process uses, on a thread of its own.
class UsageWatch
{
public:
    explicit UsageWatch(pid_t process);
    ~UsageWatch();
    UsageWatch(const UsageWatch &) = delete;
    UsageWatch &operator=(const UsageWatch &) = delete;

    std::size_t highestCountedBytes() const;
    std::size_t highestUnreadBytes() const;
    std::size_t mostDescriptors() const;

private:
    pid_t process;
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> counted{0};
    std::atomic<std::size_t> unread{0};
    std::atomic<std::size_t> descriptors{0};
    std::thread thread;
};

} // namespace oleandergate::support

#endif
