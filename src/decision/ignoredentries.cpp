#include "decision/ignoredentries.h"

namespace oleandergate {

IgnoredEntries::IgnoredEntries(Limits limits)
    : limits(limits)
{
}

bool IgnoredEntries::shouldLog(const std::string &key, std::uint64_t revision, Time now)
{
    if (now - this->intervalBegan >= this->limits.interval) {
        this->intervalBegan = now;
        this->linesInInterval = 0;
        if (this->revisions.size() >= this->limits.keys) {
            this->revisions.clear();
        }
    }
    const auto known = this->revisions.find(key);
    const bool isLogged = known != this->revisions.end() && known->second == revision;
    const bool hasRoom = known != this->revisions.end() || this->revisions.size() < this->limits.keys;
    if (isLogged || !hasRoom || this->linesInInterval >= this->limits.lines) {
        return false;
    }
    this->revisions[key] = revision;
    this->linesInInterval += 1;
    return true;
}

} // namespace oleandergate
