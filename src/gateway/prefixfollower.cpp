#include "gateway/prefixfollower.h"

#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/log.h"

#include <algorithm>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! Delay before the first retry, doubled up to the maximum. Both are short, as configuration has to arrive within seconds.
constexpr Duration initialRetryDelay = std::chrono::milliseconds(50);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(400);
constexpr Duration maxRelaxedRetryDelay = std::chrono::milliseconds(2000);

//! How often an inactive follower checks whether it was activated.
constexpr Duration passivePollInterval = std::chrono::milliseconds(100);

//! Returns an addition to the delay that differs between instances, so that they do not all retry at the same moment.
Duration jitterOf(Duration retryDelay)
{
    return Duration(currentTime().time_since_epoch().count() % std::max<std::int64_t>(1, retryDelay.count() / 2));
}

} // namespace

PrefixFollower::PrefixFollower(KeyValueService &service, std::string prefix, Hooks hooks)
    : service(service)
    , prefix(std::move(prefix))
    , hooks(std::move(hooks))
    , retryDelay(initialRetryDelay)
{
}

asio::awaitable<bool> PrefixFollower::load()
{
    const Time askedAt = currentTime();
    const Result<KvRange> range = co_await this->service.range(this->prefix, this->hooks.keeps);
    if (!range) {
        const bool isOutdated = askedAt <= this->readAt.load(); // A later reading was answered meanwhile.
        if (!this->serviceDown && !isOutdated) {
            logError("store", "cannot read " + this->prefix, range.error());
        }
        this->serviceDown = this->serviceDown || !isOutdated;
        if (this->hooks.onFailed) {
            this->hooks.onFailed(askedAt);
        }
        co_return false;
    }
    if (this->serviceDown) {
        logRecord(LogLevel::Info, "store", "reads " + this->prefix + " again", {{"revision", std::to_string(range.value().revision)}});
    }
    this->serviceDown = false;
    if (this->hooks.onAnswered) {
        this->hooks.onAnswered();
    }
    this->retryDelay = initialRetryDelay;
    // A reading that is older than the latest event would undo it.
    if (range.value().revision >= this->knownRevision) {
        this->knownRevision = range.value().revision;
        this->loadedRevision = range.value().revision;
        this->hooks.onLoad(range.value());
    }
    this->readAt = std::max(this->readAt.load(), askedAt);
    co_return true;
}

std::uint64_t PrefixFollower::seenRevision() const
{
    return this->knownRevision;
}

Time PrefixFollower::loadedAt() const
{
    return this->readAt;
}

void PrefixFollower::setActive(bool newActive)
{
    this->active = newActive;
}

void PrefixFollower::setRelaxed(bool newRelaxed)
{
    this->relaxed = newRelaxed;
}

asio::awaitable<void> PrefixFollower::run()
{
    while (true) {
        if (!this->active) {
            co_await sleepFor(passivePollInterval);
            continue;
        }
        const bool loaded = co_await this->load();
        if (loaded && this->active) {
            const auto onEvent = [this](const KvEvent &event) {
                if (event.pair.revision > this->loadedRevision) {
                    this->knownRevision = std::max(this->knownRevision.load(), event.pair.revision);
                    this->hooks.onEvent(event);
                }
            };
            const auto wanted = [this]() {
                return this->active.load();
            };
            const Error ended = co_await this->service.watch(this->prefix, this->knownRevision + 1, onEvent, wanted);
            if (ended.code == ErrorCode::Cancelled) {
                continue;
            }
            logError("store", "the watch of " + this->prefix + " ended", ended);
            // A watch that ended because the service no longer has the history does not mean that the service is down.
            this->serviceDown = this->serviceDown || ended.code == ErrorCode::ServiceUnavailable;
        }
        co_await sleepFor(this->retryDelay + jitterOf(this->retryDelay));
        this->retryDelay = std::min(this->relaxed ? maxRelaxedRetryDelay : maxRetryDelay, this->retryDelay * 2);
    }
}

} // namespace oleandergate
