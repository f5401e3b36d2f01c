//! A library that is loaded into a gateway's process before the C library and stands for its links to its peers: what it sends to a port whose link is cut
//! does not arrive. The test changes the list of these ports in a file that is mapped into both processes; see support/peerlinks.h.

#include "support/linkcutlist.h"

#include <cerrno>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

using oleandergate::support::LinkCutList;

namespace {

template <typename Function>
Function *following(const char *name)
{
    return reinterpret_cast<Function *>(::dlsym(RTLD_NEXT, name));
}

const LinkCutList *mapList()
{
    const char *file = std::getenv(LinkCutList::variable);
    const int descriptor = file == nullptr ? -1 : ::open(file, O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return nullptr;
    }
    void *mapped = ::mmap(nullptr, sizeof(LinkCutList), PROT_READ, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    return mapped == MAP_FAILED ? nullptr : static_cast<const LinkCutList *>(mapped);
}

const LinkCutList *list()
{
    static const LinkCutList *const mapped = mapList();
    return mapped;
}

int portOf(const sockaddr *address)
{
    return address == nullptr || address->sa_family != AF_INET ? 0 : ntohs(reinterpret_cast<const sockaddr_in *>(address)->sin_port);
}

//! Returns whether what is sent on \p descriptor, to \p address unless that is nullptr, is lost.
bool isCut(int descriptor, const sockaddr *address)
{
    const LinkCutList *const cuts = list();
    if (cuts == nullptr || cuts->count.load() == 0) {
        return false;
    }
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    if (address != nullptr) {
        return cuts->has(portOf(address));
    }
    return ::getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0 && cuts->has(portOf(reinterpret_cast<const sockaddr *>(&peer)));
}

bool isStream(int descriptor)
{
    int type = 0;
    socklen_t size = sizeof(type);
    return ::getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

//! Returns what a send of \p bytes on a link that is cut returns: connections end, datagrams are lost.
ssize_t lose(int descriptor, std::size_t bytes)
{
    if (isStream(descriptor)) {
        errno = ECONNRESET;
        return -1;
    }
    return static_cast<ssize_t>(bytes);
}

std::size_t bytesOf(const msghdr &message)
{
    std::size_t bytes = 0;
    for (std::size_t part = 0; part < message.msg_iovlen; ++part) {
        bytes += message.msg_iov[part].iov_len;
    }
    return bytes;
}

} // namespace

extern "C" {

int connect(int descriptor, const sockaddr *address, socklen_t size)
{
    static auto *const next = following<int(int, const sockaddr *, socklen_t)>("connect");
    if (isCut(descriptor, address)) {
        errno = EHOSTUNREACH;
        return -1;
    }
    return next(descriptor, address, size);
}

ssize_t send(int descriptor, const void *data, size_t size, int flags)
{
    static auto *const next = following<ssize_t(int, const void *, size_t, int)>("send");
    return isCut(descriptor, nullptr) ? lose(descriptor, size) : next(descriptor, data, size, flags);
}

ssize_t sendto(int descriptor, const void *data, size_t size, int flags, const sockaddr *address, socklen_t addressSize)
{
    static auto *const next = following<ssize_t(int, const void *, size_t, int, const sockaddr *, socklen_t)>("sendto");
    return isCut(descriptor, address) ? lose(descriptor, size) : next(descriptor, data, size, flags, address, addressSize);
}

ssize_t sendmsg(int descriptor, const msghdr *message, int flags)
{
    static auto *const next = following<ssize_t(int, const msghdr *, int)>("sendmsg");
    const auto *const address = static_cast<const sockaddr *>(message->msg_name);
    return isCut(descriptor, address) ? lose(descriptor, bytesOf(*message)) : next(descriptor, message, flags);
}
}
