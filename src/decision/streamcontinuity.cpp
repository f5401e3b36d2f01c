#include "decision/streamcontinuity.h"

#include <algorithm>
#include <utility>

namespace oleandergate {

namespace {

//! Pairs of events after which the numbers of a stream count as rising by one.
constexpr std::uint64_t minUnitSteps = 2;

} // namespace

StreamContinuity::StreamContinuity(std::optional<std::uint64_t> resumeAfter, std::uint64_t maxEvents)
    : last(resumeAfter)
    , maxEvents(maxEvents)
{
}

void StreamContinuity::beginRun()
{
    this->runTotal = 0;
    this->held.reset();
    this->goesOn = this->last.has_value() || this->total > 0;
}

void StreamContinuity::expectUnitSteps(bool expected)
{
    this->expectsUnitSteps = expected;
}

void StreamContinuity::expectConfirmations(std::uint32_t count)
{
    this->confirmationsNeeded = count;
}

void StreamContinuity::expectTail(std::string text)
{
    this->expectedTail = std::move(text);
}

bool StreamContinuity::mayEndWith(std::string_view text) const
{
    // A caller that takes a stream up may have its end already: only its last numbered event is known.
    return this->total > 0 && this->runTotal == 0 && std::string_view(this->expectedTail).starts_with(text);
}

void StreamContinuity::expectUnevenSteps(bool expected)
{
    this->expectsUnevenSteps = expected;
}

bool StreamContinuity::isBehindGap(std::uint64_t number) const
{
    const bool isJoin = this->goesOn && this->runTotal == 0;
    return this->risesByOne && this->unnumbered == 0 && (isJoin || this->expectsUnitSteps || this->unitSteps >= minUnitSteps) && number != *this->last + 1;
}

EventPosition StreamContinuity::placeBehindGap(std::uint64_t number)
{
    if (this->afterGap != number) {
        this->afterGap = number;
        this->isGapOfFurtherRun = this->goesOn;
        return EventPosition::BehindGap;
    }
    if (!this->isGapOfFurtherRun) {
        this->isUneven = true;
        return EventPosition::Next;
    }
    // Runs that leave an event out may do so each time.
    if (this->expectsUnitSteps) {
        return EventPosition::BehindGap;
    }
    return this->expectsUnevenSteps ? EventPosition::Next : EventPosition::Held;
}

EventPosition StreamContinuity::placeBehindHeld(std::optional<std::uint64_t> number)
{
    const std::uint64_t first = *this->held;
    if (number && *number <= first) {
        return EventPosition::Repeated;
    }
    if (!number || *number == first + 1) {
        return EventPosition::BehindGap;
    }
    this->held.reset();
    this->pass(first);
    this->pass(number);
    return EventPosition::Next;
}

void StreamContinuity::pass(std::optional<std::uint64_t> number)
{
    if (!number) {
        this->unnumbered += 1;
    } else {
        if (this->last && this->unnumbered == 0) {
            const bool isUnitStep = *number == *this->last + 1;
            const bool isJoin = this->goesOn && this->runTotal == 0;
            this->unitSteps += isUnitStep ? 1 : 0;
            this->risesByOne = this->risesByOne && isUnitStep;
            this->isUneven = this->isUneven || (!isUnitStep && !isJoin);
        }
        this->last = number;
        this->unnumbered = 0;
    }
    this->total += 1;
    this->runTotal += 1;
    this->afterGap.reset();
    this->unprovenEnd = false;
    this->confirmations = 0;
    const bool isBeforeFurther = this->furtherNumber && (!number || *number < *this->furtherNumber);
    this->hasFurtherEvent = isBeforeFurther;
    if (!isBeforeFurther) {
        this->furtherNumber.reset();
    }
}

void StreamContinuity::showFurtherNumber(std::uint64_t number)
{
    this->hasFurtherEvent = true;
    this->furtherNumber = std::max(number, this->furtherNumber.value_or(number));
}

EventPosition StreamContinuity::add(std::optional<std::uint64_t> number)
{
    if (this->held) {
        return this->placeBehindHeld(number);
    }
    if (!number && this->goesOn && this->runTotal == 0) {
        return EventPosition::Unplaced;
    }
    if (number && this->last && *number <= *this->last) {
        return EventPosition::Repeated;
    }
    const EventPosition position = number && this->last && this->isBehindGap(*number) ? this->placeBehindGap(*number) : EventPosition::Next;
    if (position == EventPosition::Held) {
        this->held = number;
        this->showFurtherNumber(*number);
    } else if (position == EventPosition::BehindGap && number) {
        this->showFurtherNumber(*number);
    } else if (position == EventPosition::Next) {
        this->pass(number);
    }
    return position;
}

void StreamContinuity::showFurtherEvent()
{
    this->hasFurtherEvent = true;
}

Evidence StreamContinuity::endRun(const StreamEnd &end)
{
    if (!end.betweenEvents || end.isContinued || this->isHolding()) {
        return Evidence::Disproved;
    }
    const bool isWholeTail = end.tail.empty() || (this->mayEndWith(end.tail) && end.tail == this->expectedTail);
    if (!isWholeTail || (!end.tail.empty() && !end.framed)) {
        return Evidence::Disproved;
    }
    // With more events the tokens of each are not known after all.
    const bool isExhausted = this->maxEvents > 0 && this->total == this->maxEvents;
    // Events without numbers at the end may be what was seen of the further event.
    if (this->hasFurtherEvent && end.tail.empty() && !isExhausted) {
        return Evidence::Disproved;
    }
    if (end.framed || isExhausted) {
        return Evidence::Proved;
    }
    if (end.endpointEnded) {
        return Evidence::Disproved;
    }
    if (this->runTotal == 0) {
        // The answer may have been cut behind its head. It only agrees with a run that ended here in order.
        if (!this->unprovenEnd) {
            return Evidence::Disproved;
        }
        this->confirmations += end.isDoubtful ? 0 : 1;
        return this->confirmations >= this->confirmationsNeeded ? Evidence::Proved : Evidence::Unknown;
    }
    this->unprovenEnd = true;
    return Evidence::Unknown;
}

bool StreamContinuity::endsUnproven() const
{
    return this->unprovenEnd;
}

bool StreamContinuity::isHolding() const
{
    return this->held.has_value();
}

std::optional<bool> StreamContinuity::stepsByOne() const
{
    if (this->isUneven) {
        return false;
    }
    const bool isOneRun = !this->goesOn && this->runTotal == this->total;
    return isOneRun && this->risesByOne && this->unnumbered == 0 && this->unitSteps >= minUnitSteps ? std::optional(true) : std::nullopt;
}

bool StreamContinuity::canContinue() const
{
    return this->unnumbered == 0;
}

std::optional<std::uint64_t> StreamContinuity::lastNumber() const
{
    return this->last;
}

std::uint64_t StreamContinuity::passedOn() const
{
    return this->total;
}

std::uint64_t StreamContinuity::passedOnInRun() const
{
    return this->runTotal;
}

} // namespace oleandergate
