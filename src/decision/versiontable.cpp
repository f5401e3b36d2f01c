#include "decision/versiontable.h"

#include <algorithm>

namespace oleandergate {

void VersionTable::assign(const std::string &service, std::uint64_t revision, VersionBuckets buckets)
{
    this->assignments[service] = Assignment{revision, std::move(buckets)};
}

void VersionTable::addEarlier(const std::string &key, const std::string &service, std::map<std::size_t, std::set<std::string>> versions, Time now)
{
    this->earlier[key] = Earlier{false, service, std::move(versions), now};
}

void VersionTable::addDiverted(const std::string &key, const std::string &service, std::map<std::size_t, std::set<std::string>> versions, Time now)
{
    this->earlier[key] = Earlier{true, service, std::move(versions), now};
}

void VersionTable::expireEarlier(Time before)
{
    std::erase_if(this->earlier, [before](const auto &entry) {
        return entry.second.addedAt < before;
    });
}

void VersionTable::dropEarlier(const std::string &key)
{
    this->earlier.erase(key);
}

std::optional<std::string> VersionTable::assigned(const std::string &service, std::size_t bucket) const
{
    const auto found = this->assignments.find(service);
    return found == this->assignments.end() || bucket >= found->second.buckets.size() ? std::nullopt : std::optional(found->second.buckets[bucket]);
}

std::set<std::string> VersionTable::candidates(const std::string &service, std::size_t bucket) const
{
    std::set<std::string> versions;
    const std::optional<std::string> current = this->assigned(service, bucket);
    if (!current) {
        return versions;
    }
    versions.insert(*current);
    for (const auto &[key, former] : this->earlier) {
        const auto found = former.versions.find(bucket);
        if (!former.diverted && former.service == service && found != former.versions.end()) {
            versions.insert(found->second.begin(), found->second.end());
        }
    }
    return versions;
}

bool VersionTable::mayBeDiverted(const std::string &service, std::size_t bucket) const
{
    return std::any_of(this->earlier.begin(), this->earlier.end(), [&service, bucket](const auto &entry) {
        return entry.second.diverted && entry.second.service == service && entry.second.versions.contains(bucket);
    });
}

std::optional<std::string> VersionTable::resolve(const std::string &service, std::size_t bucket, const StreamRecord &record) const
{
    if (record.state == RecordState::Found) {
        return record.version;
    }
    if (record.state == RecordState::Unknown && this->mayBeDiverted(service, bucket)) {
        return std::nullopt;
    }
    const std::set<std::string> possible = this->candidates(service, bucket);
    return possible.size() == 1 ? std::optional(*possible.begin()) : std::nullopt;
}

std::optional<std::string> VersionTable::resolveUnnamed(const std::string &service, std::size_t bucket, const std::set<std::string> &recorded) const
{
    std::set<std::string> possible = this->candidates(service, bucket);
    if (possible.size() > 1 && !recorded.empty()) {
        // While a bucket moves, all its streams are recorded.
        possible = recorded;
    } else {
        possible.insert(recorded.begin(), recorded.end());
    }
    return possible.size() == 1 ? std::optional(*possible.begin()) : std::nullopt;
}

VersionBuckets VersionTable::bucketsOf(const std::string &service) const
{
    const auto found = this->assignments.find(service);
    return found == this->assignments.end() ? VersionBuckets() : found->second.buckets;
}

std::uint64_t VersionTable::latestRevision() const
{
    std::uint64_t latest = 0;
    for (const auto &[service, assignment] : this->assignments) {
        latest = std::max(latest, assignment.revision);
    }
    return latest;
}

std::uint64_t VersionTable::revisionOf(const std::string &service) const
{
    const auto found = this->assignments.find(service);
    return found == this->assignments.end() ? 0 : found->second.revision;
}

} // namespace oleandergate
