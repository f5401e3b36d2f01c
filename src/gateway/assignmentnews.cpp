#include "gateway/assignmentnews.h"

#include "runtime/log.h"
#include "wire/codec.h"

namespace oleandergate {

AssignmentNews::AssignmentNews(InstanceId self, std::function<void()> onNews)
    : self(std::move(self))
    , onNews(std::move(onNews))
{
}

void AssignmentNews::onKnown(std::uint64_t revision)
{
    bool isNew = false;
    {
        const std::lock_guard lock(this->mutex);
        this->currency.onKnown(revision);
        isNew = this->currency.hasNews();
    }
    if (isNew) {
        this->onNews();
    }
}

bool AssignmentNews::isBehind() const
{
    const std::lock_guard lock(this->mutex);
    return this->currency.isBehind();
}

bool AssignmentNews::isCurrent(Time confirmedAt, bool isInStep, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->currency.isCurrent(confirmedAt, isInStep, now);
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
                       [this](const std::string &payload, Time /*now*/) {
                           return this->onPayload(payload);
                       }};
}

std::string AssignmentNews::nextReport(Time now)
{
    const std::lock_guard lock(this->mutex);
    if (!this->currency.isStatementDue(now)) {
        return {};
    }
    this->currency.onStatementSent(now);
    return encodeAssignmentReport(AssignmentReport{this->self, this->currency.knownRevision()});
}

bool AssignmentNews::onPayload(const std::string &payload)
{
    const Result<AssignmentReport> report = decodeAssignmentReport(payload);
    if (!report) {
        return false;
    }
    bool falls = false;
    std::uint64_t known = 0;
    {
        const std::lock_guard lock(this->mutex);
        const bool wasBehind = this->currency.isBehind();
        this->currency.onStated(report.value().revision);
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
