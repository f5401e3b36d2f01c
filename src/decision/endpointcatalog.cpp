#include "decision/endpointcatalog.h"

#include "decision/hash.h"

#include <set>

namespace oleandergate {

EndpointCatalog::EndpointCatalog(Duration reappearance)
    : reappearance(reappearance)
{
}

void EndpointCatalog::put(const EndpointEntry &entry)
{
    this->listed[entry.spec.id] = Listed{entry, std::nullopt};
}

void EndpointCatalog::remove(const EndpointId &id, Time now)
{
    const auto found = this->listed.find(id);
    if (found == this->listed.end()) {
        return;
    }
    if (now >= this->trustRemovalsFrom) {
        this->listed.erase(found);
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
    return std::erase_if(this->listed,
                         [now](const auto &item) {
                             return item.second.dropAt && *item.second.dropAt <= now;
                         })
        > 0;
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
    std::uint64_t sum = 0;
    for (const auto &[id, item] : this->listed) {
        const EndpointEntry &entry = item.entry;
        const std::string text = id + '\n' + entry.service + '\n' + entry.spec.address + '\n' + std::to_string(entry.spec.slots)
            + (entry.spec.leaving ? "\nleaving\n" : "\n") + std::to_string(entry.startedAt);
        sum ^= hashOf(text);
    }
    return sum;
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
