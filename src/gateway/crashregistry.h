#ifndef OLEANDERGATE_GATEWAY_CRASHREGISTRY_H
#define OLEANDERGATE_GATEWAY_CRASHREGISTRY_H

#include "decision/crashhistory.h"
#include "gateway/newschannel.h"
#include "gateway/relaycall.h"
#include "wire/crashreport.h"

#include <functional>
#include <mutex>
#include <string>

namespace oleandergate {

class Counter;
class Metrics;

//! The crash history of this instance, shared by its requests and its reports; logs what changes it. Thread-safe.
class CrashRegistry
{
public:
    //! \p instanceSeed differs between instances. \p onNews is called when other instances have to know of a change at once.
    CrashRegistry(Metrics &metrics, std::uint64_t instanceSeed, std::function<void()> onNews);

    //! Decides whether a request may run now.
    RunAdmission admit(const RequestIdentity &request, Time now) const;

    //! Decides once more, and records a run at \p endpoint unless the verdict is to wait or to refuse. Such a run has to be ended by one of the
    //! next three functions.
    RunAdmission begin(const RequestIdentity &request, const EndpointId &endpoint, Time now);

    //! Ends a run that began at \p startedAt and whose endpoint ended. \p requestId is the attempt's identifier, for the log.
    void endWithCrash(const RequestIdentity &request, const EndpointId &endpoint, Time startedAt, Time now, const RequestId &requestId);

    //! Ends a run with an answer.
    void endWithAnswer(const RequestIdentity &request, const EndpointId &endpoint, Time now);

    //! Ends a run without an answer, whose endpoint goes on or which did not take place.
    void endWithoutAnswer(const RequestIdentity &request, const EndpointId &endpoint);

    //! Returns those of \p endpoints that are kept for isolated runs.
    std::set<EndpointId> isolatedAmong(const std::vector<EndpointId> &endpoints, Time now) const;

    //! Returns true when there are isolated runs.
    bool hasIsolatedRuns(Time now) const;

    //! Exchanges records and runs under way with the other instances, as \p self. The channel refers to this object.
    NewsChannel channel(const InstanceId &self);

    void expire(Time now);
    std::size_t recordCount() const;

private:
    //! Returns what to report to other instances next; no records and no runs when there is nothing to report.
    CrashReport nextReport(const InstanceId &self, Time now);

    //! Returns true when the next report has news or names runs under way.
    bool hasNews() const;

    void onReport(const CrashReport &report, Time now);

    //! Returns the stricter verdict of the request's fingerprints. The mutex has to be held.
    RunAdmission admitLocked(const RequestIdentity &request, Time now) const;

    mutable std::mutex mutex;
    std::function<void()> onNews;
    CrashHistory history; //!< Guarded by the mutex.
    Counter &crashes;
    Counter &cleared;
};

} // namespace oleandergate

#endif
