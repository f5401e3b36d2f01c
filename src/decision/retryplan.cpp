#include "decision/retryplan.h"

namespace oleandergate {

namespace {

//! Endpoints that may refuse one request before the caller is told; bounds the work a full pool causes.
constexpr std::uint32_t maxRefusals = 4;

//! Sends of one request after broken ones; bounds the work a failing pool causes.
constexpr std::uint32_t maxRepeats = 3;

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

bool RetryPlan::mayHaveRun() const
{
    return this->ran;
}

const std::set<EndpointId> &RetryPlan::avoided() const
{
    return this->avoid;
}

NextStep RetryPlan::after(const SendReport &report)
{
    switch (report.end) {
    case SendEnd::CallerLeft:
        return NextStep::Stop;
    case SendEnd::TimedOut:
        this->ran = true;
        return NextStep::FailLate;
    case SendEnd::NotSent:
    case SendEnd::Refused:
        this->refusals += 1;
        this->avoid.insert(report.endpoint);
        if (this->refusals < maxRefusals) {
            return NextStep::TryElsewhere;
        }
        return this->ran ? NextStep::FailUnknown : NextStep::RefuseNotRun;
    case SendEnd::Answered:
        this->ran = true;
        this->ranAt.insert(report.endpoint);
        if (report.endpointFailed && this->kind == RouteKind::Idempotent && this->ranAt.size() < this->maxAttempts && this->repeats < maxRepeats) {
            this->repeats += 1;
            this->avoid.insert(report.endpoint);
            return NextStep::TryElsewhere;
        }
        return NextStep::Deliver;
    case SendEnd::Broken:
        break;
    }
    return this->afterBroken(report);
}

NextStep RetryPlan::afterBroken(const SendReport &report)
{
    this->ran = true;
    if (!this->repeatable() || this->repeats >= maxRepeats) {
        return NextStep::FailUnknown;
    }
    this->repeats += 1;
    if (report.endpointGone) {
        this->ranAt.erase(report.endpoint);
    } else {
        this->ranAt.insert(report.endpoint);
    }
    if (this->ranAt.size() < this->maxAttempts) {
        this->avoid.insert(report.endpoint);
        return NextStep::TryElsewhere;
    }
    return NextStep::TrySame;
}

} // namespace oleandergate
