#include "decision/assignmentcurrency.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! Statements of each change, in reports that follow each other.
constexpr std::size_t statementsPerChange = 3;

//! Interval of further statements, for instances that started later or received none of these.
constexpr Duration statementInterval = std::chrono::milliseconds(400);

} // namespace

void AssignmentCurrency::onKnown(std::uint64_t revision)
{
    if (revision <= this->known) {
        return;
    }
    this->known = revision;
    this->statementsLeft = statementsPerChange;
    this->isUrgent = true;
}

void AssignmentCurrency::onStated(std::uint64_t revision)
{
    this->stated = std::max(this->stated, revision);
}

bool AssignmentCurrency::isBehind() const
{
    return this->stated > this->known;
}

bool AssignmentCurrency::isCurrent(Time confirmedAt, bool isInStep, Time now) const
{
    return !this->isBehind() && (isInStep || now - confirmedAt <= assignmentLifetime);
}

std::uint64_t AssignmentCurrency::knownRevision() const
{
    return this->known;
}

bool AssignmentCurrency::isStatementDue(Time now) const
{
    return this->known > 0 && (this->statementsLeft > 0 || now - this->statedAt >= statementInterval);
}

bool AssignmentCurrency::hasNews() const
{
    return this->isUrgent;
}

void AssignmentCurrency::onStatementSent(Time now)
{
    this->statementsLeft -= this->statementsLeft > 0 ? 1 : 0;
    this->isUrgent = false;
    this->statedAt = now;
}

} // namespace oleandergate
