#include "support/processusage.h"

#include "runtime/textfile.h"
#include "support/processmemory.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <set>
#include <sstream>
#include <string>

namespace oleandergate::support {

namespace {

constexpr std::chrono::milliseconds readInterval{10};
constexpr const char *listeningState = "0A";
constexpr int hexadecimal = 16;

std::string folderOf(pid_t process)
{
    return "/proc/" + std::to_string(process);
}

std::size_t residentBytesOf(pid_t process)
{
    const std::string status = readTextFile(folderOf(process) + "/status").value_or("");
    const std::size_t at = status.find("VmRSS:");
    return at == std::string::npos ? 0 : std::stoul(status.substr(at + 6)) * bytesPerKilobyte;
}

//! Returns the unread bytes of the connections whose sockets have an inode in \p sockets.
std::size_t unreadBytesOf(pid_t process, const std::set<std::string> &sockets)
{
    std::size_t total = 0;
    for (const char *table : {"/net/tcp", "/net/tcp6"}) {
        std::istringstream lines(readTextFile(folderOf(process) + table).value_or(""));
        std::string line;
        std::getline(lines, line); // The names of the columns.
        while (std::getline(lines, line)) {
            std::istringstream fields(line);
            std::string number;
            std::string local;
            std::string remote;
            std::string state;
            std::string queues;
            std::string timer;
            std::string retransmits;
            std::string user;
            std::string timeout;
            std::string inode;
            fields >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode;
            const std::size_t colon = queues.find(':');
            if (state != listeningState && colon != std::string::npos && sockets.contains(inode)) {
                total += std::stoul(queues.substr(colon + 1), nullptr, hexadecimal);
            }
        }
    }
    return total;
}

void raise(std::atomic<std::size_t> &highest, std::size_t value)
{
    highest = std::max(highest.load(), value);
}

} // namespace

ProcessUsage usageOf(pid_t process)
{
    ProcessUsage usage;
    std::set<std::string> sockets;
    std::error_code error;
    for (auto entry = std::filesystem::directory_iterator(folderOf(process) + "/fd", error); !error && entry != std::filesystem::directory_iterator();
         entry.increment(error)) {
        usage.descriptors += 1;
        std::error_code gone;
        const std::string target = std::filesystem::read_symlink(entry->path(), gone).string();
        constexpr std::string_view prefix = "socket:[";
        if (!gone && target.starts_with(prefix)) {
            sockets.insert(target.substr(prefix.size(), target.size() - prefix.size() - 1));
        }
    }
    usage.memoryBytes = residentBytesOf(process);
    usage.unreadBytes = unreadBytesOf(process, sockets);
    return usage;
}

UsageWatch::UsageWatch(pid_t watched)
    : process(watched)
    , thread([this]() {
        while (!this->stopping) {
            const ProcessUsage usage = usageOf(this->process);
            raise(this->counted, usage.countedBytes());
            raise(this->unread, usage.unreadBytes);
            raise(this->descriptors, usage.descriptors);
            std::this_thread::sleep_for(readInterval);
        }
    })
{
}

UsageWatch::~UsageWatch()
{
    this->stopping = true;
    this->thread.join();
}

std::size_t UsageWatch::highestCountedBytes() const
{
    return this->counted;
}

std::size_t UsageWatch::highestUnreadBytes() const
{
    return this->unread;
}

std::size_t UsageWatch::mostDescriptors() const
{
    return this->descriptors;
}

} // namespace oleandergate::support
