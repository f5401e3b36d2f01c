//! The assignments of software versions that instances hand to each other.

#include "gateway/assignmentnews.h"
#include "gateway/peergossip.h"
#include "gateway/streamversions.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/peerclient.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! A peer answers within a few milliseconds; another one is asked after a slower one.
constexpr Duration fetchTimeout = std::chrono::milliseconds(300);

//! How often an instance that cannot read the assignments asks a peer: while it knows none, and to keep up with those that it received.
constexpr Duration fetchInterval = std::chrono::milliseconds(100);
constexpr Duration refetchInterval = std::chrono::milliseconds(500);

//! Returns the highest revision of the assignments among \p records, which also have former ones and marks.
std::uint64_t latestAssignmentIn(const std::vector<HandedVersionRecord> &records)
{
    std::uint64_t latest = 0;
    for (const HandedVersionRecord &record : records) {
        const std::optional<VersionRecord> decoded = decodeVersionRecord(record.value);
        if (decoded && !decoded->earlier && !decoded->diverted) {
            latest = std::max(latest, record.revision);
        }
    }
    return latest;
}

} // namespace

std::optional<PeerMessage> StreamVersions::serve(const PeerMessage &message) const
{
    if (const auto *query = std::get_if<StreamOriginQuery>(&message)) {
        return StreamOriginReply{this->originsFor(*query)};
    }
    if (!std::holds_alternative<VersionRecordsQuery>(message)) {
        return std::nullopt;
    }
    VersionRecordsReply reply;
    const std::lock_guard lock(this->mutex);
    reply.isKnown = this->loaded && this->isCurrent(currentTime());
    reply.revision = this->seenRevision();
    reply.confirmedAge = static_cast<std::uint64_t>((currentTime() - this->parts.news.confirmedAt()).count());
    for (const auto &[key, record] : this->records) {
        reply.records.push_back(HandedVersionRecord{key, record.value, record.revision});
    }
    return reply;
}

std::vector<std::string> StreamVersions::peerAddresses() const
{
    std::vector<std::string> addresses;
    this->parts.gossip.countReports([&addresses](const PeerReport &peer) {
        addresses.push_back(peer.instance.peerAddress);
        return true;
    });
    return addresses;
}

void StreamVersions::askPeer(Time now)
{
    {
        const std::lock_guard lock(this->mutex);
        const bool isBehind = this->parts.news.isBehind();
        const bool isFollowing = this->loaded && !isBehind && !this->isOutOfStep(now);
        if (isFollowing || this->fetching || now < this->fetchAgainAt) {
            return;
        }
        this->fetchAgainAt = now + (this->isKnown() && !isBehind ? refetchInterval : fetchInterval);
    }
    const std::vector<std::string> addresses = this->peerAddresses();
    if (addresses.empty()) {
        return;
    }
    this->fetching = true;
    std::uniform_int_distribution<std::size_t> choice(0, addresses.size() - 1);
    asio::co_spawn(this->parts.context, this->fetchFrom(addresses[choice(this->random)]), asio::detached);
}

asio::awaitable<void> StreamVersions::fetchFrom(std::string peer)
{
    const Time askedAt = currentTime();
    PeerMessage query = VersionRecordsQuery();
    const Result<PeerMessage> reply = co_await this->parts.peers.sendWithin(fetchTimeout, peer, std::move(query));
    this->fetching = false;
    const auto *found = reply ? std::get_if<VersionRecordsReply>(&reply.value()) : nullptr;
    if (found != nullptr) {
        this->take(*found, peer, askedAt);
        co_return;
    }
    logRecord(LogLevel::Info,
              "versions",
              "a peer did not answer a query for the assignments",
              {{"peer", peer}, {"detail", reply ? "the reply is of another kind" : reply.error().detail}});
}

void StreamVersions::take(const VersionRecordsReply &reply, const std::string &peer, Time askedAt)
{
    const std::uint64_t latest = latestAssignmentIn(reply.records);
    const bool isConfirmed = reply.confirmedAge <= static_cast<std::uint64_t>(Duration(assignmentLifetime).count());
    bool isLater = false;
    {
        const std::lock_guard lock(this->mutex);
        isLater = !this->isKnown() || reply.revision > this->seenRevision();
        if (!reply.isKnown || (!isLater && latest < this->table.latestRevision())) {
            return;
        }
        this->handedAt = askedAt;
        if (isLater) {
            const VersionTable before = std::exchange(this->table, VersionTable());
            this->records.clear();
            for (const HandedVersionRecord &record : reply.records) {
                this->put(KvPair{record.key, record.value, record.revision}, before);
            }
            this->handedRevision = reply.revision;
        }
        if (isConfirmed) {
            this->parts.news.onConfirmed(latest, askedAt - Duration(static_cast<Duration::rep>(reply.confirmedAge)));
        }
    }
    if (!isLater) {
        return;
    }
    logRecord(LogLevel::Info,
              "versions",
              "received the assignments from a peer",
              {{"peer", peer}, {"records", std::to_string(reply.records.size())}, {"revision", std::to_string(reply.revision)}});
    this->recordMoved();
}

} // namespace oleandergate
