#include "decision/programretention.h"

#include <algorithm>

namespace oleandergate {

ProgramRetention::ProgramRetention(Duration minimum)
    : minimum(minimum)
    , current(minimum)
{
}

void ProgramRetention::onVersion(std::optional<Duration> retention, Time now)
{
    std::erase_if(this->former, [now](const Former &earlier) {
        return now - earlier.until >= earlier.retention;
    });
    const Duration next = std::max(this->minimum, retention.value_or(this->minimum));
    if (next < this->current) {
        this->former.push_back(Former{this->current, now});
    }
    this->current = next;
}

Duration ProgramRetention::at(Time now) const
{
    Duration longest = this->current;
    for (const Former &earlier : this->former) {
        if (now - earlier.until < earlier.retention) {
            longest = std::max(longest, earlier.retention);
        }
    }
    return longest;
}

} // namespace oleandergate
