#include "decision/recentanswers.h"

namespace oleandergate {

void RecentAnswers::add(bool answer)
{
    constexpr std::uint32_t mask = (1U << capacity) - 1;
    this->bits = ((this->bits << 1U) | (answer ? 1U : 0U)) & mask;
    this->count = this->count < capacity ? this->count + 1 : capacity;
}

bool RecentAnswers::hasAny() const
{
    return this->bits != 0;
}

bool RecentAnswers::hasNo() const
{
    return this->bits != (1U << this->count) - 1;
}

bool RecentAnswers::areAll() const
{
    return this->count == capacity && this->bits == (1U << capacity) - 1;
}

} // namespace oleandergate
