#include "support/portblock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <filesystem>
#include <string>

namespace oleandergate::support {

namespace {

//! Below the ephemeral port range, so that no outgoing connection takes a port before it is used.
constexpr int firstPort = 20000;
constexpr int portsPerBlock = 500; //!< A test run needs some hundred at a time at most.
constexpr int blockCount = 24;
constexpr int lockFileMode = 0666;

} // namespace

PortBlock::PortBlock()
{
    const int preferred = static_cast<int>(::getpid()) % blockCount;
    this->first = firstPort + preferred * portsPerBlock;
    for (int offset = 0; offset < blockCount && this->lockFile < 0; ++offset) {
        const int block = (preferred + offset) % blockCount;
        const std::filesystem::path path = std::filesystem::temp_directory_path() / ("oleander-test-ports-" + std::to_string(block));
        const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, lockFileMode); // NOLINT(cppcoreguidelines-pro-type-vararg): POSIX
        if (file >= 0 && ::flock(file, LOCK_EX | LOCK_NB) == 0) {
            this->lockFile = file;
            this->first = firstPort + block * portsPerBlock;
        } else if (file >= 0) {
            ::close(file);
        }
    }
}

PortBlock::~PortBlock()
{
    if (this->lockFile >= 0) {
        ::close(this->lockFile);
    }
}

int PortBlock::next()
{
    return this->first + static_cast<int>(this->taken++ % portsPerBlock);
}

} // namespace oleandergate::support
