#include "decision/toldstreams.h"

#include "decision/hash.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! Bounds of the memory: the oldest ones are not told while instances cannot send, and new ones are not kept while too many are.
constexpr std::size_t maxQueued = 4096;
constexpr std::size_t maxTold = 32768;

//! Different origins of a stream that are kept.
constexpr std::size_t maxOrigins = 4;

} // namespace

void addDifferent(std::vector<StreamOrigin> &origins, const StreamOrigin &origin)
{
    if (std::find(origins.begin(), origins.end(), origin) == origins.end()) {
        origins.push_back(origin);
    }
}

std::uint64_t toldStreamKey(const RequestId &attempt, RequestFingerprint request)
{
    return hashOf(attempt, request);
}

void ToldStreams::tell(std::uint64_t stream, StreamOrigin origin)
{
    this->queue.emplace_back(stream, std::move(origin));
    if (this->queue.size() > maxQueued) {
        this->queue.pop_front();
    }
}

std::vector<ToldStreams::Group> ToldStreams::takeQueued(std::size_t most)
{
    std::vector<Group> groups;
    for (; most > 0 && !this->queue.empty(); --most) {
        auto &[stream, origin] = this->queue.front();
        auto group = std::find_if(groups.begin(), groups.end(), [&origin = origin](const Group &each) {
            return each.origin == origin;
        });
        if (group == groups.end()) {
            group = groups.insert(groups.end(), Group{std::move(origin), {}});
        }
        group->streams.push_back(stream);
        this->queue.pop_front();
    }
    return groups;
}

bool ToldStreams::hasQueued() const
{
    return !this->queue.empty();
}

void ToldStreams::onTold(const Group &group, Time now)
{
    for (const std::uint64_t stream : group.streams) {
        if (this->streams.size() >= maxTold && !this->streams.contains(stream)) {
            continue;
        }
        Told &told = this->streams[stream];
        if (told.origins.size() < maxOrigins) {
            addDifferent(told.origins, group.origin);
        }
        told.at = now;
    }
}

std::optional<StreamOrigin> ToldStreams::find(std::uint64_t stream) const
{
    const auto found = this->streams.find(stream);
    return found == this->streams.end() || found->second.origins.size() != 1 ? std::nullopt : std::optional(found->second.origins.front());
}

std::vector<StreamOrigin> ToldStreams::findAll(std::uint64_t stream) const
{
    const auto found = this->streams.find(stream);
    return found == this->streams.end() ? std::vector<StreamOrigin>() : found->second.origins;
}

void ToldStreams::expire(Time before)
{
    std::erase_if(this->streams, [before](const auto &entry) {
        return entry.second.at < before;
    });
}

std::size_t ToldStreams::size() const
{
    return this->streams.size();
}

} // namespace oleandergate
