#include "decision/retryplan.h"

namespace oleandergate {

namespace {

//! Number of refused or unsent attempts after which the caller gets an error; limits the work that a full pool causes.
constexpr std::uint32_t maxRefusals = 4;

//! Number of times that a request is sent again after it may have run; limits the work that a failing pool causes.
constexpr std::uint32_t maxRepeats = 3;

//! Number of times that the end of a stream is asked for again where a run brought nothing that proves it.
constexpr std::uint32_t maxFurtherConfirmations = 3;

} // namespace

RetryPlan::RetryPlan(RouteKind kind, bool resumable, std::uint32_t maxAttempts)
    : kind(kind)
    , resumable(resumable)
    , maxAttempts(maxAttempts)
{
}

bool RetryPlan::repeatable() const
{
    return this->kind == RouteKind::Idempotent || (this->kind == RouteKind::Stream && this->resumable);
}

void RetryPlan::onFurtherSend(const EndpointId &endpoint)
{
    this->possiblyExecuted = true;
    this->possiblyExecutedAt.insert(endpoint);
}

bool RetryPlan::mayHaveRun() const
{
    return this->possiblyExecuted;
}

const std::set<EndpointId> &RetryPlan::avoided() const
{
    return this->avoid;
}

const std::set<EndpointId> &RetryPlan::openEndsAt() const
{
    return this->openEnds;
}

const std::set<EndpointId> &RetryPlan::disprovedEndsAt() const
{
    return this->disprovedEnds;
}

NextStep RetryPlan::after(const SendReport &report)
{
    if (report.broughtEvents) {
        this->disprovedEnds.merge(this->openEnds);
        this->openEnds.clear();
    }
    switch (report.outcome) {
    case SendOutcome::CallerLeft:
        return NextStep::Stop;
    case SendOutcome::TimedOut:
        this->possiblyExecuted = true;
        return NextStep::FailLate;
    case SendOutcome::CutOff:
        this->possiblyExecuted = true;
        return NextStep::FailUnknown;
    case SendOutcome::NotSent:
    case SendOutcome::Refused:
        return this->afterNotRun(report);
    case SendOutcome::Answered:
        this->possiblyExecuted = true;
        this->possiblyExecutedAt.insert(report.endpoint);
        if (report.endpointFailed && this->kind == RouteKind::Idempotent && this->possiblyExecutedAt.size() < this->maxAttempts && this->repeats < maxRepeats) {
            this->repeats += 1;
            this->avoid.insert(report.endpoint);
            return NextStep::TryElsewhere;
        }
        return NextStep::Deliver;
    case SendOutcome::Unconfirmed:
        return this->afterUnconfirmed(report);
    case SendOutcome::Broken:
        break;
    }
    return this->afterBroken(report);
}

NextStep RetryPlan::afterNotRun(const SendReport &report)
{
    this->refusals += 1;
    if (this->refusals >= maxRefusals) {
        return this->possiblyExecuted ? NextStep::FailUnknown : NextStep::RefuseNotRun;
    }
    if (report.endpointGone) {
        this->possiblyExecutedAt.erase(report.endpoint);
    }
    if (!this->possiblyExecutedAt.empty() && this->possiblyExecutedAt.size() >= this->maxAttempts) {
        return NextStep::TrySame;
    }
    this->avoid.insert(report.endpoint);
    return NextStep::TryElsewhere;
}

NextStep RetryPlan::afterBroken(const SendReport &report)
{
    this->possiblyExecuted = true;
    if (!this->repeatable() || !report.canContinue || this->repeats >= maxRepeats) {
        return NextStep::FailUnknown;
    }
    this->repeats += 1;
    if (report.endpointGone) {
        this->possiblyExecutedAt.erase(report.endpoint);
    } else {
        this->possiblyExecutedAt.insert(report.endpoint);
    }
    if (report.isUnnamedAnswer && !report.endpointGone) {
        // The connection is of no more use, the endpoint is.
        return NextStep::TrySame;
    }
    if (this->possiblyExecutedAt.size() < this->maxAttempts) {
        this->avoid.insert(report.endpoint);
        return NextStep::TryElsewhere;
    }
    return NextStep::TrySame;
}

NextStep RetryPlan::afterUnconfirmed(const SendReport &report)
{
    this->possiblyExecuted = true;
    if (!this->repeatable() || !report.canContinue) {
        // Nobody can be asked, and callers of endpoints that never frame their streams have to be served.
        return report.isDoubtfulEnd ? NextStep::FailUnknown : NextStep::Deliver;
    }
    std::uint32_t &used = report.broughtEvents ? this->repeats : this->furtherConfirmations;
    if (used >= (report.broughtEvents ? maxRepeats : maxFurtherConfirmations)) {
        return NextStep::FailUnknown;
    }
    used += 1;
    this->openEnds.insert(report.endpoint);
    this->possiblyExecutedAt.insert(report.endpoint);
    return this->possiblyExecutedAt.size() < this->maxAttempts ? NextStep::TryElsewhere : NextStep::TrySame;
}

} // namespace oleandergate
