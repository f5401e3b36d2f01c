#include "gateway/assignmentnews.h"

#include "runtime/log.h"
#include "wire/codec.h"

#include <algorithm>
#include <optional>

namespace oleandergate {

namespace {

//! How long a report may have waited for this process without a pause being noticed.
constexpr Duration unnoticedDelay = longestUnnoticedPause;

//! Returns when the key-value service was asked, at the latest, by what a report that arrives at \p now states; nothing if it states nothing of use.
std::optional<Time> confirmationOf(std::uint64_t ageUs, Time now)
{
    constexpr auto longest = static_cast<std::uint64_t>(Duration(assignmentLifetime).count());
    return ageUs > longest ? std::nullopt : std::optional(now - unnoticedDelay - Duration(static_cast<Duration::rep>(ageUs)));
}

} // namespace

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
    if (this->currency.confirmedAt() != Time{}) {
        report.confirmedAge = static_cast<std::uint64_t>(std::max(Duration::zero(), now - this->currency.confirmedAt()).count());
    }
    return encodeAssignmentReport(report);
}

bool AssignmentNews::onPayload(const std::string &payload, Time now)
{
    const Result<AssignmentReport> report = decodeAssignmentReport(payload);
    if (!report) {
        return false;
    }
    const std::optional<Time> confirmedAt = this->hasJustPaused(now) ? std::nullopt : confirmationOf(report.value().confirmedAge, now);
    bool falls = false;
    std::uint64_t known = 0;
    {
        const std::lock_guard lock(this->mutex);
        const bool wasBehind = this->currency.isBehind();
        this->currency.onStated(report.value().revision);
        if (confirmedAt) {
            this->currency.onConfirmed(report.value().revision, *confirmedAt);
        }
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
