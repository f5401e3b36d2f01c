#include "decision/endpointcatalog.h"

#include "decision/hash.h"

#include <set>

namespace oleandergate {

namespace {

std::uint64_t hashOfEntry(const EndpointEntry &entry)
{
    return hashOf(entry.spec.id + '\n' + entry.service + '\n' + entry.spec.address + '\n' + std::to_string(entry.spec.slots)
                  + (entry.spec.leaving ? "\nleaving\n" : "\n") + std::to_string(entry.startedAt));
}

} // namespace

EndpointCatalog::EndpointCatalog(Duration reappearance)
    : reappearance(reappearance)
{
}

void EndpointCatalog::put(const EndpointEntry &entry)
{
    Listed &known = this->listed[entry.spec.id];
    this->hashes ^= known.hash;
    known = Listed{entry, std::nullopt, hashOfEntry(entry)};
    this->hashes ^= known.hash;
}

void EndpointCatalog::remove(const EndpointId &id, Time now)
{
    const auto found = this->listed.find(id);
    if (found == this->listed.end()) {
        return;
    }
    if (now >= this->trustRemovalsFrom) {
        this->drop(found);
    } else if (!found->second.dropAt) {
        found->second.dropAt = this->trustRemovalsFrom;
    }
}

void EndpointCatalog::replace(const std::vector<EndpointEntry> &entries, Time now)
{
    std::set<EndpointId> present;
    for (const EndpointEntry &entry : entries) {
        present.insert(entry.spec.id);
        this->put(entry);
    }
    std::vector<EndpointId> missing;
    for (const auto &[id, listed] : this->listed) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const EndpointId &id : missing) {
        this->remove(id, now);
    }
}

void EndpointCatalog::onKeeperBack(Time returned)
{
    this->trustRemovalsFrom = returned + this->reappearance;
}

bool EndpointCatalog::expire(Time now)
{
    const std::size_t before = this->listed.size();
    for (auto position = this->listed.begin(); position != this->listed.end();) {
        const bool due = position->second.dropAt && *position->second.dropAt <= now;
        position = due ? this->drop(position) : std::next(position);
    }
    return this->listed.size() < before;
}

EndpointCatalog::Position EndpointCatalog::drop(Position position)
{
    this->hashes ^= position->second.hash;
    return this->listed.erase(position);
}

std::vector<EndpointSpec> EndpointCatalog::endpointsOf(const std::string &service) const
{
    std::vector<EndpointSpec> found;
    for (const auto &[id, listed] : this->listed) {
        if (listed.entry.service == service) {
            found.push_back(listed.entry.spec);
        }
    }
    return found;
}

std::vector<EndpointId> EndpointCatalog::ids() const
{
    std::vector<EndpointId> found;
    for (const auto &[id, entry] : this->listed) {
        found.push_back(id);
    }
    return found;
}

std::vector<EndpointEntry> EndpointCatalog::entries() const
{
    std::vector<EndpointEntry> found;
    for (const auto &[id, item] : this->listed) {
        if (!item.dropAt) {
            found.push_back(item.entry);
        }
    }
    return found;
}

bool EndpointCatalog::isSettled(Time now) const
{
    return now >= this->trustRemovalsFrom;
}

std::uint64_t EndpointCatalog::digest() const
{
    return this->hashes;
}

const EndpointEntry *EndpointCatalog::find(const EndpointId &id) const
{
    const auto found = this->listed.find(id);
    return found == this->listed.end() ? nullptr : &found->second.entry;
}

std::size_t EndpointCatalog::size() const
{
    return this->listed.size();
}

} // namespace oleandergate
