//! Where streams began, as instances remember it and tell each other.

#include "gateway/peergossip.h"
#include "gateway/streamnews.h"
#include "gateway/streamversions.h"
#include "runtime/clock.h"
#include "runtime/peerclient.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! How long the other instances are asked where a stream began, and how many of them at the most.
constexpr Duration originTimeout = std::chrono::milliseconds(250);
constexpr std::size_t maxPeersAsked = 64;

} // namespace

std::optional<StreamOrigin> StreamVersions::knownOrigin(const StreamIdentity &stream, const RequestId &request)
{
    // The identifier of a take-up that names no attempt is its own.
    if (!stream.isAttemptKnown) {
        return std::nullopt;
    }
    std::optional<StreamOrigin> origin;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->streams.find(keyOf(stream));
        if (found != this->streams.end() && !found->second.isWithdrawn) {
            origin = StreamOrigin{found->second.identity.service, found->second.version};
        }
    }
    const VersionSource source = origin ? VersionSource::Memory : VersionSource::Told;
    if (!origin) {
        origin = this->parts.streamNews.find(toldStreamKey(stream.attempt, stream.request));
    }
    if (origin) {
        this->onFound(stream, request, origin->version, source);
    }
    return origin;
}

std::vector<StreamOrigin> StreamVersions::originsFor(const StreamOriginQuery &query) const
{
    std::vector<StreamOrigin> origins;
    {
        const std::lock_guard lock(this->mutex);
        const auto named = this->streams.find(StreamKey(query.attempt, query.request));
        if (named != this->streams.end() && !named->second.isWithdrawn) {
            addDifferent(origins, StreamOrigin{named->second.identity.service, named->second.version});
        }
        if (query.attempt.empty()) {
            for (const auto &[key, stream] : this->streams) {
                if (key.second == query.request && !stream.isWithdrawn) {
                    addDifferent(origins, StreamOrigin{stream.identity.service, stream.version});
                }
            }
        }
    }
    for (const StreamOrigin &told : this->parts.streamNews.findAll(toldStreamKey(query.attempt, query.request))) {
        addDifferent(origins, told);
    }
    return origins;
}

struct StreamVersions::PeerAnswers
{
    //! Returns whether nothing more has to be waited for. One answer is enough if it can be of one stream only.
    bool isSettled(bool isAttemptKnown) const
    {
        return this->ended == this->asked || (isAttemptKnown && !this->origins.empty());
    }

    std::mutex mutex{};
    std::size_t asked = 0;
    std::size_t ended = 0; //!< Queries.
    std::size_t answered = 0;
    std::vector<StreamOrigin> origins{}; //!< The different ones.
    AsyncSignal progress{};
};

asio::awaitable<void> StreamVersions::askPeerFor(std::shared_ptr<PeerAnswers> answers, std::string peer, StreamOriginQuery query)
{
    PeerMessage message = std::move(query);
    const Result<PeerMessage> reply = co_await this->parts.peers.sendWithin(originTimeout, std::move(peer), std::move(message));
    const auto *found = reply ? std::get_if<StreamOriginReply>(&reply.value()) : nullptr;
    {
        const std::lock_guard lock(answers->mutex);
        answers->ended += 1;
        answers->answered += found != nullptr ? 1 : 0;
        if (found != nullptr) {
            for (const StreamOrigin &origin : found->origins) {
                addDifferent(answers->origins, origin);
            }
        }
    }
    answers->progress.notify();
}

asio::awaitable<Result<StreamOrigin>> StreamVersions::askPeersFor(StreamIdentity stream, RequestId request)
{
    const StreamOriginQuery query{stream.isAttemptKnown ? stream.attempt : RequestId(), stream.request};
    const auto answers = std::make_shared<PeerAnswers>();
    answers->origins = this->originsFor(query);
    std::vector<std::string> addresses = this->peerAddresses();
    const bool asksAll = addresses.size() <= maxPeersAsked && !this->parts.gossip.missesAny(currentTime());
    addresses.resize(std::min(addresses.size(), maxPeersAsked));
    answers->asked = addresses.size();
    for (std::string &address : addresses) {
        asio::co_spawn(this->parts.context, this->askPeerFor(answers, std::move(address), query), asio::detached);
    }
    const Time giveUpAt = currentTime() + originTimeout;
    while (true) {
        const Time now = currentTime();
        {
            const std::lock_guard lock(answers->mutex);
            if (answers->isSettled(stream.isAttemptKnown) || now >= giveUpAt) {
                break;
            }
        }
        co_await answers->progress.wait(giveUpAt - now);
    }
    std::vector<StreamOrigin> origins;
    bool allAnswered = false;
    {
        const std::lock_guard lock(answers->mutex);
        origins = answers->origins;
        allAnswered = asksAll && answers->answered == answers->asked;
    }
    if (!stream.isAttemptKnown && !allAnswered) {
        // Another attempt of the same request may have begun at another version, at an instance that did not answer.
        co_return this->refuse(stream, request, "the key-value service did not answer, nor did all other instances, and the attempt is not named");
    }
    if (origins.size() != 1) {
        co_return this->refuse(stream,
                               request,
                               origins.empty() ? "the key-value service did not answer, and no other instance knows the stream"
                                               : "the key-value service did not answer, and other instances disagree");
    }
    this->onFound(stream, request, origins.front().version, VersionSource::Peer);
    co_return origins.front();
}

} // namespace oleandergate
