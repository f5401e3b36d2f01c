#include "decision/assignmentcurrency.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! Statements of each change, in reports that follow each other.
constexpr std::size_t statementsPerChange = 3;

//! Interval of further statements, for instances that started later or received none of these.
constexpr Duration statementInterval = std::chrono::milliseconds(400);

//! Age from which the assignments are confirmed again, and how much later for each instance that comes before: a call takes some milliseconds, and what it
//! tells reaches the others before their turns. The last turn is well before \ref assignmentLifetime.
constexpr Duration confirmationAge = std::chrono::milliseconds(1300);
constexpr Duration turnDelay = std::chrono::milliseconds(100);
constexpr std::size_t lastTurn = 4;

//! A confirmation that is newer than the former one by this is told at once.
constexpr Duration newsOfConfirmation = std::chrono::milliseconds(500);

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

void AssignmentCurrency::onConfirmed(std::uint64_t revision, Time askedAt)
{
    if (revision != this->known || askedAt <= this->confirmed) {
        return;
    }
    this->isUrgent = this->isUrgent || askedAt - this->confirmed >= newsOfConfirmation;
    this->confirmed = askedAt;
}

Time AssignmentCurrency::confirmedAt() const
{
    return this->confirmed;
}

bool AssignmentCurrency::isConfirmationDue(std::size_t rank, Time now) const
{
    return now - this->confirmed >= confirmationAge + turnDelay * static_cast<Duration::rep>(std::min(rank, lastTurn));
}

bool AssignmentCurrency::isBehind() const
{
    return this->stated > this->known;
}

bool AssignmentCurrency::isCurrent(bool isOutageForAll, Time now) const
{
    return !this->isBehind() && (isOutageForAll || now - this->confirmed <= assignmentLifetime);
}

std::uint64_t AssignmentCurrency::knownRevision() const
{
    return this->known;
}

bool AssignmentCurrency::isStatementDue(Time now) const
{
    const bool hasStatement = this->known > 0 || this->confirmed != Time{};
    return hasStatement && (this->isUrgent || this->statementsLeft > 0 || now - this->statedAt >= statementInterval);
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
