#include "support/peerlinks.h"

#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <new>
#include <stdexcept>
#include <sys/mman.h>
#include <unistd.h>
#include <utility>

namespace oleandergate::support {

namespace {

//! The library lies beside the test's own program, whichever build the gateways are of.
std::string libraryFile()
{
    const std::filesystem::path file = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "liblinkcut.so";
    if (!std::filesystem::exists(file)) {
        throw std::runtime_error("there is no " + file.string() + ": links between gateways could not be cut");
    }
    return file.string();
}

//! AddressSanitizer refuses libraries that are loaded before its own, unless told otherwise.
std::string sanitizerOptions()
{
    const char *options = std::getenv("ASAN_OPTIONS");
    return "ASAN_OPTIONS=" + (options == nullptr ? std::string() : std::string(options) + ":") + "verify_asan_link_order=0";
}

} // namespace

PeerLinks::PeerLinks(const std::string &file)
    : file(file)
{
    constexpr mode_t mode = 0600;
    const int descriptor = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, mode);
    const bool sized = descriptor >= 0 && ::ftruncate(descriptor, sizeof(LinkCutList)) == 0;
    void *mapped = sized ? ::mmap(nullptr, sizeof(LinkCutList), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0) : MAP_FAILED;
    if (descriptor >= 0) {
        ::close(descriptor);
    }
    if (mapped == MAP_FAILED) {
        throw std::runtime_error("cannot map " + file);
    }
    this->list = new (mapped) LinkCutList();
}

PeerLinks::~PeerLinks()
{
    if (this->list != nullptr) {
        ::munmap(this->list, sizeof(LinkCutList));
    }
}

PeerLinks::PeerLinks(PeerLinks &&other) noexcept
    : file(std::move(other.file))
    , list(std::exchange(other.list, nullptr))
{
}

std::vector<std::string> PeerLinks::environment() const
{
    return {"LD_PRELOAD=" + libraryFile(), std::string(LinkCutList::variable) + "=" + this->file, sanitizerOptions()};
}

void PeerLinks::cut(const std::set<std::string> &addresses)
{
    std::uint32_t count = 0;
    for (const std::string &address : addresses) {
        this->list->ports.at(count) = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
        count += 1;
    }
    this->list->count = count;
}

} // namespace oleandergate::support
