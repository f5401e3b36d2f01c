#include "gateway/assignmentnews.h"

#include "runtime/log.h"
#include "wire/codec.h"

#include <algorithm>
#include <optional>

namespace oleandergate {

AssignmentNews::AssignmentNews(InstanceId self, std::function<void()> onNews)
    : self(std::move(self))
    , onNews(std::move(onNews))
{
}

void AssignmentNews::passOn()
{
    bool isNew = false;
    {
        const std::lock_guard lock(this->mutex);
        isNew = this->currency.hasNews();
    }
    if (isNew) {
        this->onNews();
    }
}

void AssignmentNews::onKnown(std::uint64_t revision)
{
    {
        const std::lock_guard lock(this->mutex);
        this->currency.onKnown(revision);
    }
    this->passOn();
}

void AssignmentNews::onConfirmed(std::uint64_t revision, Time askedAt)
{
    {
        const std::lock_guard lock(this->mutex);
        this->currency.onConfirmed(revision, askedAt);
    }
    this->passOn();
}

Time AssignmentNews::confirmedAt() const
{
    const std::lock_guard lock(this->mutex);
    return this->currency.confirmedAt();
}

bool AssignmentNews::isConfirmationDue(std::size_t rank, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->currency.isConfirmationDue(rank, now);
}

std::uint64_t AssignmentNews::knownRevision() const
{
    const std::lock_guard lock(this->mutex);
    return this->currency.knownRevision();
}

void AssignmentNews::setPauseCheck(std::function<bool(Time now)> newCheck)
{
    this->hasJustPaused = std::move(newCheck);
}

bool AssignmentNews::isBehind() const
{
    const std::lock_guard lock(this->mutex);
    return this->currency.isBehind();
}

bool AssignmentNews::isCurrent(bool isOutageForAll, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->currency.isCurrent(isOutageForAll, now);
}

NewsChannel AssignmentNews::channel()
{
    return NewsChannel{[this](Time now) {
                           return this->nextReport(now);
                       },
                       [this]() {
                           const std::lock_guard lock(this->mutex);
                           return this->currency.hasNews();
                       },
                       [this](const std::string &payload, Time now) {
                           return this->onPayload(payload, now);
                       },
                       [this](const InstanceId &peer, Time madeAt, Time now) {
                           this->onLoadReport(peer, madeAt, now);
                       }};
}

std::string AssignmentNews::nextReport(Time now)
{
    const std::lock_guard lock(this->mutex);
    if (!this->currency.isStatementDue(now)) {
        return {};
    }
    this->currency.onStatementSent(now);
    AssignmentReport report{this->self, this->currency.knownRevision()};
    report.madeAt = static_cast<std::uint64_t>(now.time_since_epoch().count());
    if (this->currency.confirmedAt() != Time{}) {
        report.confirmedAge = static_cast<std::uint64_t>(std::max(Duration::zero(), now - this->currency.confirmedAt()).count());
    }
    return encodeAssignmentReport(report);
}

void AssignmentNews::onLoadReport(const InstanceId &peer, Time madeAt, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->transits.onReport(peer, madeAt, now);
}

std::optional<Time> AssignmentNews::confirmationOf(const AssignmentReport &report, Time now) const
{
    constexpr auto longest = static_cast<std::uint64_t>(Duration(assignmentLifetime).count());
    const std::optional<Duration> wait = this->transits.waitOf(report.instance, timeOf(report.madeAt), now);
    if (report.confirmedAge > longest || !wait) {
        return std::nullopt;
    }
    return now - *wait - Duration(static_cast<Duration::rep>(report.confirmedAge));
}

bool AssignmentNews::onPayload(const std::string &payload, Time now)
{
    const Result<AssignmentReport> report = decodeAssignmentReport(payload);
    if (!report) {
        return false;
    }
    const bool hasPaused = this->hasJustPaused(now);
    bool falls = false;
    std::uint64_t known = 0;
    {
        const std::lock_guard lock(this->mutex);
        const bool wasBehind = this->currency.isBehind();
        this->currency.onStated(report.value().revision);
        const std::optional<Time> confirmedAt = this->confirmationOf(report.value(), now);
        if (confirmedAt && !hasPaused) {
            this->currency.onConfirmed(report.value().revision, *confirmedAt);
        }
        this->transits.onReport(report.value().instance, timeOf(report.value().madeAt), now);
        falls = !wasBehind && this->currency.isBehind();
        known = this->currency.knownRevision();
    }
    if (falls) {
        logRecord(LogLevel::Info,
                  "versions",
                  "a peer knows a later assignment",
                  {{"peer", report.value().instance}, {"revision", std::to_string(report.value().revision)}, {"known_revision", std::to_string(known)}});
    }
    return true;
}

} // namespace oleandergate
