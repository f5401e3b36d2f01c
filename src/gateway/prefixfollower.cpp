#include "gateway/prefixfollower.h"

#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/log.h"

#include <algorithm>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! Pause before the first new try, doubled up to the longest; short, since configuration has to arrive within seconds.
constexpr Duration firstPause = std::chrono::milliseconds(50);
constexpr Duration longestPause = std::chrono::milliseconds(400);

//! How often a passive follower looks whether it is to watch.
constexpr Duration passiveLook = std::chrono::milliseconds(100);

//! Part of the pause that differs between instances, so that they do not all return at the same moment.
Duration jitterOf(Duration pause)
{
    return Duration(currentTime().time_since_epoch().count() % std::max<std::int64_t>(1, pause.count() / 2));
}

} // namespace

PrefixFollower::PrefixFollower(KeyValueService &service, std::string prefix, Hooks hooks)
    : service(service)
    , prefix(std::move(prefix))
    , hooks(std::move(hooks))
    , pause(firstPause)
{
}

asio::awaitable<bool> PrefixFollower::load()
{
    const Time askedAt = currentTime();
    const Result<KvRange> range = co_await this->service.range(this->prefix);
    if (!range) {
        if (!this->lost) {
            logError("store", "lost sight of " + this->prefix, range.error());
        }
        this->lost = true;
        co_return false;
    }
    if (this->lost) {
        logRecord(LogLevel::Info, "store", "sees " + this->prefix + " again", {{"revision", std::to_string(range.value().revision)}});
        this->hooks.onBack();
    }
    this->lost = false;
    this->pause = firstPause;
    this->readAt = askedAt;
    // An answer that was overtaken by newer events would bring back what they ended.
    if (range.value().revision >= this->seen) {
        this->seen = range.value().revision;
        this->loaded = range.value().revision;
        this->hooks.onLoad(range.value());
    }
    co_return true;
}

std::uint64_t PrefixFollower::seenRevision() const
{
    return this->seen;
}

Time PrefixFollower::loadedAt() const
{
    return this->readAt;
}

void PrefixFollower::setActive(bool newActive)
{
    this->active = newActive;
}

asio::awaitable<void> PrefixFollower::run()
{
    while (true) {
        if (!this->active) {
            co_await sleepFor(passiveLook);
            continue;
        }
        const bool loaded = co_await this->load();
        if (loaded && this->active) {
            const auto onEvent = [this](const KvEvent &event) {
                if (this->lost) {
                    // The watch outlived the outage, and may tell first of what lapsed meanwhile.
                    this->hooks.onBack();
                }
                if (event.pair.revision > this->loaded) {
                    this->seen = std::max(this->seen.load(), event.pair.revision);
                    this->hooks.onEvent(event);
                }
            };
            const auto wanted = [this]() {
                return this->active.load();
            };
            const Error ended = co_await this->service.watch(this->prefix, this->seen + 1, onEvent, wanted);
            if (ended.code == ErrorCode::Cancelled) {
                continue;
            }
            logError("store", "the watch of " + this->prefix + " ended", ended);
            // A watch that broke for want of history says nothing about the service's health.
            this->lost = this->lost || ended.code == ErrorCode::ServiceUnavailable;
        }
        co_await sleepFor(this->pause + jitterOf(this->pause));
        this->pause = std::min(longestPause, this->pause * 2);
    }
}

} // namespace oleandergate
