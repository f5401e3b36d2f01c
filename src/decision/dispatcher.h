#ifndef OLEANDERGATE_DECISION_DISPATCHER_H
#define OLEANDERGATE_DECISION_DISPATCHER_H

#include "decision/endpointtable.h"
#include "decision/error.h"
#include "decision/placement.h"
#include "decision/policyoptions.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace oleandergate {

//! Queues the calls of one pool and places them on its endpoints.
//!
//! One queue operation and one placement cost O(log n) in waiting calls and in endpoints. Not thread-safe.
class Dispatcher
{
public:
    Dispatcher(const PolicyOptions &options, std::uint64_t seed);

    //! Changes the policy for calls queued from now on. The limit on calls in flight stays as it was.
    void setOptions(const PolicyOptions &options);

    //! Sets this instance's failure domain, for the preference of near endpoints.
    void setLocalDomain(const std::string &domain);

    //! Replaces the endpoints. Those that vanished or are leaving get no further call.
    void setEndpoints(const std::vector<EndpointSpec> &endpoints);

    //! Queues \p call, or refuses it because its program would be late.
    Result<void> enqueue(const QueuedCall &call, Time now);

    //! Takes a waiting call back. Returns false when it does not wait.
    bool remove(CallId call);

    //! Returns the call that next() would send, or nullptr when nothing waits.
    const QueuedCall *head(Time now);

    //! Returns the next call to send, if there is one and an endpoint has room.
    std::optional<Placement> next(Time now);

    //! Returns the streams to interrupt now.
    std::vector<Interruption> interruptions(Time now);

    //! A token or another part of the answer came.
    void onProgress(CallId call, Tokens tokens, Time now);

    //! A sent call ended.
    void onFinished(CallId call, bool healthy, Time now);

    //! A stream that was to be interrupted goes on, and is not asked for again.
    void keepRunning(CallId call);

    //! An interrupted stream is ready to be queued again. \p generated counts all its tokens so far.
    void onInterrupted(CallId call, Tokens generated, Time now);

    //! Takes an endpoint's own count of running and waiting calls, measured at \p measuredAt.
    void onLoadReport(const EndpointId &endpoint, std::uint32_t running, Time measuredAt, Time now);

    //! An endpoint dropped the prefix of a branch.
    void onCacheEvicted(const EndpointId &endpoint, const ProgramId &program, const std::string &branch);

    //! Forgets a program. Returns the endpoints that may hold cache for it.
    std::set<EndpointId> forgetProgram(const ProgramId &program);

    //! Forgets programs without a call since \p before, for callers that never say that a program has ended.
    void forgetIdle(Time before);

    //! Sets how many calls other instances have at an endpoint.
    void setPeerCalls(const EndpointId &endpoint, std::uint32_t calls);

    //! Returns how many calls this instance has at each endpoint that has some.
    std::map<EndpointId, std::uint32_t> ownCalls() const;

    //! Returns how long a call that is queued now would wait.
    Duration predictedWait() const;

    //! Returns the mean service time of a call.
    Duration meanServiceTime() const;

    std::size_t waitingCount() const;
    std::size_t runningCount() const;
    std::size_t endpointCount() const;
    std::uint64_t interruptionCount() const;

private:
    struct BranchCache
    {
        std::size_t endpoint = 0;
        Tokens tokens = 0;
    };

    struct ProgramView
    {
        double attained = 0.0; //!< Seconds of service received.
        std::size_t openCalls = 0;
        Time usedAt{};
        std::size_t calls = 0;
        std::map<std::string, BranchCache> caches{};
        std::map<std::size_t, std::map<std::string, Tokens>> parts{}; //!< Tokens of each prompt part by endpoint.
        std::set<EndpointId> endpoints{};
    };

    struct Waiting
    {
        QueuedCall call{};
        Time key{};
        std::uint32_t interrupted = 0;
        bool firstStart = true;
        Tokens generated = 0;
        Time queuedAt{};
    };

    struct Running
    {
        QueuedCall call{};
        std::size_t endpoint = 0;
        Time startedAt{};
        Time lastProgress{};
        bool firstToken = false;
        bool interrupting = false;
        Tokens uncached = 0;
        Tokens generated = 0;
        std::uint32_t interrupted = 0;
        double previouslyAttained = 0.0;
    };

    Time queueKey(const QueuedCall &call, Time now) const;
    bool hasCandidate(const QueuedCall &call) const;
    bool wouldBeLate(const QueuedCall &call, Time now) const;
    //! The call to send next and where; no call when all that are considered wait.
    struct Choice
    {
        CallId call = 0;
        std::size_t endpoint = 0;
    };
    std::optional<Choice> select(Time now);
    bool waitsForPrefix(const Waiting &waiting, std::size_t endpoint, Time now) const;
    std::size_t choose(const Waiting &waiting, Time now);
    std::size_t chooseByBranch(const Waiting &waiting, Time now) const;
    std::size_t chooseByParts(const Waiting &waiting, Time now) const;
    double estimateByParts(std::size_t endpoint, const Waiting &waiting, Tokens cached) const;
    Tokens cachedPartTokens(std::size_t endpoint, const QueuedCall &call) const;
    std::vector<std::size_t> preferredEndpoints(const std::string &key) const;
    void recordPrefix(std::size_t endpoint, const QueuedCall &call, Tokens generated);
    double estimateByBranch(std::size_t endpoint, const Waiting &waiting) const;
    Tokens cachedTokens(std::size_t endpoint, const QueuedCall &call) const;
    void start(const Waiting &waiting, std::size_t endpoint, Time now);
    void recordService(const Running &running, Time now);
    void addStalled(Time now, std::vector<Interruption> &chosen);
    void addPreempted(Time now, std::vector<Interruption> &chosen);
    Duration quantumFor(const Running &running) const;

    PolicyOptions options;
    std::mt19937_64 random;
    EndpointTable endpoints;
    std::map<std::pair<Time, CallId>, CallId> order;
    std::unordered_map<CallId, Waiting> waiting;
    std::map<CallId, Running> running;
    std::unordered_map<ProgramId, ProgramView> programs;
    std::size_t roundRobin = 0;
    std::uint64_t startedCalls = 0;
    std::uint64_t migrations = 0;
    std::uint64_t interruptedStreams = 0;
    double meanAnswerTokens = 100.0; //!< Tokens generated for one call, over the pool.
    double minPrefillTime = 0.00003; //!< Seconds per uncached prompt token when little else runs.
    double meanTokenGap = 0.03; //!< Seconds between tokens, over the pool.
    double meanPrefillTime = 0.0002; //!< Seconds per uncached prompt token, over the pool.
    double meanCallSeconds = 2.0; //!< Seconds of service of one call, over the pool.
    double meanCallsPerProgram = 4.0; //!< Calls of one program, over the pool.
};

} // namespace oleandergate

#endif
