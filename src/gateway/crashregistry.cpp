#include "gateway/crashregistry.h"

#include "decision/endpointhash.h"
#include "decision/hash.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "wire/codec.h"

#include <algorithm>
#include <array>
#include <limits>

namespace oleandergate {

namespace {

//! Records and runs in one report, which then fits into one packet.
constexpr std::size_t recordsPerReport = 48;
constexpr std::size_t runsPerReport = 16;

//! From so many crashes on, what a peer reports of a request is logged: each ordinary crash makes suspects of all that ran there.
constexpr std::uint32_t minLoggedCrashes = 2;

std::uint32_t ageInMilliseconds(Time time, Time now)
{
    return static_cast<std::uint32_t>(std::chrono::floor<std::chrono::milliseconds>(std::max(Duration::zero(), now - time)).count());
}

//! Returns the different fingerprints of a request.
std::set<RequestFingerprint> fingerprintsOf(const RequestIdentity &request)
{
    return {request.exact, request.start};
}

} // namespace

CrashRegistry::CrashRegistry(Metrics &metrics, std::uint64_t instanceSeed, std::function<void()> onNews)
    : onNews(std::move(onNews))
    , history(instanceSeed)
    , crashes(metrics.counter("oleandergate_runs_crashed_total"))
    , cleared(metrics.counter("oleandergate_crash_suspects_cleared_total"))
{
}

RunAdmission CrashRegistry::admitLocked(const RequestIdentity &request, Time now) const
{
    const RunAdmission exact = this->history.admit(request.exact, now);
    const RunAdmission start = this->history.admit(request.start, now);
    return start.verdict > exact.verdict ? start : exact;
}

RunAdmission CrashRegistry::admit(const RequestIdentity &request, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->admitLocked(request, now);
}

RunAdmission CrashRegistry::begin(const RequestIdentity &request, const EndpointId &endpoint, Time now)
{
    RunAdmission admission;
    {
        const std::lock_guard lock(this->mutex);
        admission = this->admitLocked(request, now);
        if (admission.verdict == RunVerdict::Wait || admission.verdict == RunVerdict::Refused) {
            return admission;
        }
        for (const RequestFingerprint fingerprint : fingerprintsOf(request)) {
            this->history.onStarted(fingerprint, endpointHash(endpoint));
        }
    }
    if (admission.crashes > 0) {
        this->onNews();
    }
    return admission;
}

void CrashRegistry::endWithCrash(const RequestIdentity &request, const EndpointId &endpoint, Time startedAt, Time now, const RequestId &requestId)
{
    RunAdmission admission;
    {
        const std::lock_guard lock(this->mutex);
        for (const RequestFingerprint fingerprint : fingerprintsOf(request)) {
            this->history.onCrashed(fingerprint, endpointHash(endpoint), startedAt, now);
        }
        admission = this->admitLocked(request, now);
    }
    this->crashes.add();
    this->onNews();
    logRecord(LogLevel::Info,
              "crashes",
              "an endpoint ended under a request",
              {{"request", requestId},
               {"fingerprint", hashText(request.exact)},
               {"start_fingerprint", hashText(request.start)},
               {"endpoint", endpoint},
               {"ran_ms", std::to_string(std::chrono::round<std::chrono::milliseconds>(now - startedAt).count())},
               {"crashes", std::to_string(admission.crashes)},
               {"next_run", std::string(nameIn(runVerdictNames, admission.verdict))}});
}

void CrashRegistry::endWithAnswer(const RequestIdentity &request, const EndpointId &endpoint, Time now)
{
    bool wasSuspect = false;
    {
        const std::lock_guard lock(this->mutex);
        for (const RequestFingerprint fingerprint : fingerprintsOf(request)) {
            wasSuspect = this->history.onCompleted(fingerprint, endpointHash(endpoint), now) || wasSuspect;
        }
    }
    if (wasSuspect) {
        this->cleared.add();
        logRecord(LogLevel::Info,
                  "crashes",
                  "a complete run cleared a request",
                  {{"fingerprint", hashText(request.exact)}, {"start_fingerprint", hashText(request.start)}, {"endpoint", endpoint}});
    }
}

void CrashRegistry::endWithoutAnswer(const RequestIdentity &request, const EndpointId &endpoint)
{
    const std::lock_guard lock(this->mutex);
    for (const RequestFingerprint fingerprint : fingerprintsOf(request)) {
        this->history.onAbandoned(fingerprint, endpointHash(endpoint));
    }
}

std::set<EndpointId> CrashRegistry::isolatedAmong(const std::vector<EndpointId> &endpoints, Time now) const
{
    std::set<std::uint32_t> isolated;
    {
        const std::lock_guard lock(this->mutex);
        isolated = this->history.isolatedEndpoints(now);
    }
    std::set<EndpointId> found;
    for (const EndpointId &endpoint : endpoints) {
        if (isolated.contains(endpointHash(endpoint))) {
            found.insert(endpoint);
        }
    }
    return found;
}

bool CrashRegistry::hasIsolatedRuns(Time now) const
{
    const std::lock_guard lock(this->mutex);
    return !this->history.isolatedEndpoints(now).empty();
}

NewsChannel CrashRegistry::channel(const InstanceId &self)
{
    return NewsChannel{[this, self](Time now) {
                           const CrashReport report = this->nextReport(self, now);
                           return report.records.empty() && report.runs.empty() ? std::string() : encodeCrashReport(report);
                       },
                       [this]() {
                           return this->hasNews();
                       },
                       [this](const std::string &payload, Time now) {
                           const Result<CrashReport> report = decodeCrashReport(payload);
                           if (report) {
                               this->onReport(report.value(), now);
                           }
                           return report.has_value();
                       }};
}

CrashReport CrashRegistry::nextReport(const InstanceId &self, Time now)
{
    CrashReport report;
    report.instance = self;
    const std::lock_guard lock(this->mutex);
    for (const CrashRecord &record : this->history.nextReport(recordsPerReport)) {
        const auto crashCount = static_cast<std::uint8_t>(std::min<std::uint32_t>(record.crashes, std::numeric_limits<std::uint8_t>::max()));
        ReportedCrashRecord reported{record.request, crashCount, ageInMilliseconds(record.lastCrash, now), std::nullopt};
        if (record.lastCompletion != Time{}) {
            reported.completionAge = ageInMilliseconds(record.lastCompletion, now);
        }
        report.records.push_back(reported);
    }
    report.runs = this->history.suspectRuns(runsPerReport);
    return report;
}

bool CrashRegistry::hasNews() const
{
    const std::lock_guard lock(this->mutex);
    return this->history.hasNews() || !this->history.suspectRuns(1).empty();
}

void CrashRegistry::onReport(const CrashReport &report, Time now)
{
    for (const ReportedCrashRecord &reported : report.records) {
        CrashRecord record{reported.request, reported.crashes, now - std::chrono::milliseconds(reported.crashAge)};
        if (reported.completionAge) {
            record.lastCompletion = now - std::chrono::milliseconds(*reported.completionAge);
        }
        RunAdmission before;
        RunAdmission after;
        {
            const std::lock_guard lock(this->mutex);
            before = this->history.admit(reported.request, now);
            this->history.merge(record, now);
            after = this->history.admit(reported.request, now);
        }
        if (after.crashes != before.crashes && std::max(before.crashes, after.crashes) >= minLoggedCrashes) {
            logRecord(LogLevel::Info,
                      "crashes",
                      "a peer reported crashes of a request",
                      {{"fingerprint", hashText(reported.request)},
                       {"peer", report.instance},
                       {"crashes_before", std::to_string(before.crashes)},
                       {"crashes", std::to_string(after.crashes)},
                       {"age_ms", std::to_string(std::chrono::round<std::chrono::milliseconds>(after.sinceLastCrash).count())},
                       {"next_run", std::string(nameIn(runVerdictNames, after.verdict))}});
        }
    }
    const std::lock_guard lock(this->mutex);
    this->history.setRemoteRuns(report.instance, report.runs, now);
}

void CrashRegistry::expire(Time now)
{
    const std::lock_guard lock(this->mutex);
    this->history.expire(now);
}

std::size_t CrashRegistry::recordCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->history.recordCount();
}

} // namespace oleandergate
