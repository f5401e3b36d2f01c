#include "runtime/processsignals.h"

#include <array>
#include <csignal>

namespace oleandergate {

namespace {

constexpr std::array heldSignals{SIGTERM, SIGINT, SIGHUP};
constexpr std::array ignoredSignals{SIGPIPE, SIGXFSZ};

sigset_t heldSet()
{
    sigset_t set{};
    sigemptyset(&set);
    for (const int signal : heldSignals) {
        sigaddset(&set, signal);
    }
    return set;
}

//! Before all static objects, which have the priorities behind this one.
[[gnu::constructor(101)]] void holdSignals()
{
    const sigset_t set = heldSet();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    for (const int signal : ignoredSignals) {
        std::signal(signal, SIG_IGN);
    }
}

} // namespace

void deliverSignals()
{
    const sigset_t set = heldSet();
    pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

} // namespace oleandergate
