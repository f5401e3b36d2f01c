#ifndef OLEANDERGATE_DECISION_CRASHHISTORY_H
#define OLEANDERGATE_DECISION_CRASHHISTORY_H

#include "decision/crashrecord.h"
#include "decision/runadmission.h"
#include "decision/suspectrun.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace oleandergate {

//! Finds the requests that end each endpoint that runs them, among all those that run at an endpoint when it ends.
//!
//! A request that causes crashes never completes, so a complete run anywhere clears its request. Crashes count only one after the other:
//! endpoints that end together, under copies of a popular request, count once. Instances exchange their records, so that each of them
//! decides by the crashes that all have seen.
//!
//! Bounded in memory. Not thread-safe.
class CrashHistory
{
public:
    //! Largest number of records by default; each has about 100 bytes.
    static constexpr std::size_t defaultMaxRecords = 4096;

    //! A crash does not count for a request of which a run completed within this time before it. Popular requests run at nearly every endpoint that
    //! ends; this keeps them from becoming suspects, which run one at a time.
    static constexpr Duration immunityTime = std::chrono::seconds(3);

    //! \p instanceSeed differs between instances.
    explicit CrashHistory(std::uint64_t instanceSeed, std::size_t maxRecords = defaultMaxRecords);

    //! Decides whether a request may run now.
    RunAdmission admit(RequestFingerprint request, Time now) const;

    //! Records that a run began at \p endpoint, the hash of its identifier.
    void onStarted(RequestFingerprint request, std::uint32_t endpoint);

    //! Records that the endpoint of a run that began at \p startedAt ended under it. Returns the crashes of the request so far.
    std::uint32_t onCrashed(RequestFingerprint request, std::uint32_t endpoint, Time startedAt, Time now);

    //! Records that a run ended with an answer. Returns true when this cleared a suspicion.
    bool onCompleted(RequestFingerprint request, std::uint32_t endpoint, Time now);

    //! Records that a run ended without an answer while its endpoint went on, or that the request did not run.
    void onAbandoned(RequestFingerprint request, std::uint32_t endpoint);

    //! Merges a record of another instance.
    void merge(const CrashRecord &record, Time now);

    //! Replaces the runs of suspects that \p instance reported. They count until about a second after the latest report.
    void setRemoteRuns(const InstanceId &instance, const std::vector<SuspectRun> &runs, Time now);

    //! Returns up to \p count records to report next: those that changed lately, the most crashes first, then a few others with
    //! two crashes or more, in rotation.
    std::vector<CrashRecord> nextReport(std::size_t count);

    //! Returns true when a record changed so lately that not all peers may have it.
    bool hasNews() const;

    //! Returns up to \p count runs of suspects at this instance.
    std::vector<SuspectRun> suspectRuns(std::size_t count) const;

    //! Returns the hashes of the endpoints that are kept for isolated runs.
    std::set<std::uint32_t> isolatedEndpoints(Time now) const;

    //! Drops records whose latest crash is too long ago.
    void expire(Time now);

    std::size_t recordCount() const;

private:
    struct Entry
    {
        CrashRecord record{};
        std::uint32_t newsLeft = 0; //!< Number of reports that are still to name a change of the record.
    };

    struct RemoteRuns
    {
        std::vector<SuspectRun> runs{};
        Time reportedAt{};
    };

    //! Returns the record of a request that is a suspect, else nullptr.
    const CrashRecord *suspicionOf(RequestFingerprint request, Time now) const;

    //! Returns when an isolated run of the request may begin at this instance.
    Time isolatedTurn(const CrashRecord &record) const;

    //! Returns true when a run of the request is under way at this instance or at another one.
    bool isRunning(RequestFingerprint request, Time now) const;

    //! Returns when a run of the request last completed, as far as known; the epoch for never.
    Time latestCompletion(RequestFingerprint request) const;
    void removeRun(RequestFingerprint request, std::uint32_t endpoint);

    //! Returns the entry of the request; a new one may displace the least suspect.
    Entry &entryFor(RequestFingerprint request);

    std::uint64_t instanceSeed;
    std::size_t maxRecords;
    std::map<RequestFingerprint, Entry> entries;
    std::unordered_multimap<RequestFingerprint, std::uint32_t> ownRuns; //!< Endpoints of the runs under way at this instance.
    std::unordered_map<RequestFingerprint, Time> recentCompletions; //!< At this instance, of all requests, within \ref immunityTime.
    std::map<InstanceId, RemoteRuns> remoteRuns;
    RequestFingerprint lastReported = 0; //!< Position of the rotation in \ref nextReport().
};

} // namespace oleandergate

#endif
