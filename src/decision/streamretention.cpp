#include "decision/streamretention.h"

namespace oleandergate {

void StreamRetention::update(Duration longest, Time now)
{
    if (longest >= this->longest || now > this->lastsUntil) {
        this->longest = longest;
        this->lastsUntil = now + longest;
    }
}

Duration StreamRetention::current() const
{
    return this->longest;
}

} // namespace oleandergate
