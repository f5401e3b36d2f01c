#include "decision/eventsizes.h"

#include <algorithm>

namespace oleandergate {

void EventSizes::addFormer(const std::string &service, Tokens size, Duration retention, Time now)
{
    std::vector<Former> &known = this->formers[service];
    std::erase_if(known, [now](const Former &former) {
        return now > former.lapsesAt;
    });
    known.push_back(Former{size, now + retention});
}

Tokens EventSizes::smallest(const std::string &service, Tokens present, Time now) const
{
    Tokens size = present;
    const auto known = this->formers.find(service);
    if (known == this->formers.end()) {
        return size;
    }
    for (const Former &former : known->second) {
        if (now <= former.lapsesAt) {
            size = std::min(size, former.size);
        }
    }
    return size;
}

} // namespace oleandergate
