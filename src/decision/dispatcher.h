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

//! Queues the calls of one pool and assigns them to its endpoints.
//!
//! A queue operation and a placement take O(log n) in the number of waiting calls and of endpoints. Not thread-safe.
class Dispatcher
{
public:
    //! \p seed initialises the random generator.
    Dispatcher(const PolicyOptions &options, std::uint64_t seed);

    //! Changes the policy for calls that are queued from now on. The limit on in-flight calls does not change.
    void setOptions(const PolicyOptions &options);

    //! Sets this instance's failure domain, whose endpoints are preferred.
    void setLocalDomain(const std::string &domain);

    //! Replaces the list of endpoints. Those that are missing from it or leaving get no new calls.
    void setEndpoints(const std::vector<EndpointSpec> &endpoints);

    //! Queues \p call. Fails with NoEndpoint when no endpoint may serve it, and with Overloaded when its program is new and would
    //! miss its deadline.
    Result<void> enqueue(const QueuedCall &call, Time now);

    //! Returns whether an endpoint that takes calls is the one, or runs the software version, that the waiting call \p call requires. Also true for calls
    //! that require neither or are not waiting.
    bool mayServe(CallId call) const;

    //! Returns whether the endpoint is listed and not leaving. It may be full.
    bool takesCalls(const EndpointId &endpoint) const;

    //! Returns whether the pool has endpoints of the software version \p version beside \p endpoint, whether or not they take calls.
    bool hasOther(const std::string &version, const EndpointId &endpoint) const;

    //! Returns whether an endpoint of the software version \p version takes calls, other than those in \p avoid. It may be full.
    bool takesCalls(const std::string &version, const std::set<EndpointId> &avoid, Time now) const;

    //! Returns whether such an endpoint has room for another call.
    bool hasRoom(const std::string &version, const std::set<EndpointId> &avoid, Time now) const;

    //! Removes a waiting call from the queue. Returns false when the call is not waiting.
    bool remove(CallId call);

    //! Returns the call that next() would take, or nullptr when there is none. With a placement rule other than Estimated it is the
    //! first waiting call, even when no endpoint has room for it.
    const QueuedCall *head(Time now);

    //! Takes the next call from the queue and returns it with its endpoint, if an endpoint has room for one.
    std::optional<Placement> next(Time now);

    //! Returns the streams to interrupt now, because they stall or in favour of waiting calls.
    std::vector<Interruption> interruptions(Time now);

    //! Records that \p tokens tokens, or another part of the answer, arrived.
    void onProgress(CallId call, Tokens tokens, Time now);

    //! Records the end of a running call. Unless \p healthy is set, its endpoint gets no new calls for a while.
    void onFinished(CallId call, bool healthy, Time now);

    //! Ends a placed call that was not sent, because its endpoint's rate limit leaves no room before \p retryAt.
    void onDeclined(CallId call, Time retryAt);

    //! Sets the rate limits of endpoints, in calls a second from all \p instances instances together. Endpoints that \p limits lacks have none.
    void setRateLimits(const std::map<EndpointId, double> &limits, std::size_t instances);

    //! Returns the earliest time after \p now at which a rate-limited endpoint may take a call again; Time::max() when none is blocked.
    Time nextUnblock(Time now) const;

    //! Records that a stream could not be interrupted and continues. It is not chosen for interruption again.
    void keepRunning(CallId call);

    //! Queues an interrupted stream again. \p generated is the number of tokens that it has generated so far.
    void onInterrupted(CallId call, Tokens generated, Time now);

    //! Processes an endpoint's own count of its running and waiting calls, measured at \p measuredAt.
    void onLoadReport(const EndpointId &endpoint, std::uint32_t running, Time measuredAt, Time now);

    //! Records that an endpoint evicted the cached prefix of a branch.
    void onCacheEvicted(const EndpointId &endpoint, const ProgramId &program, const std::string &branch);

    //! Forgets a program. Returns the endpoints whose caches may hold prefixes of it.
    std::set<EndpointId> forgetProgram(const ProgramId &program);

    //! Forgets programs without open calls whose latest call was queued before \p before, for callers that never end their programs.
    void forgetIdle(Time before);

    //! Sets the number of calls of other instances at all listed endpoints, by endpointHash(); 0 for those that \p calls lacks.
    void setPeerCalls(const std::map<std::uint32_t, std::uint32_t> &calls);

    //! Returns the number of calls of this instance at each endpoint that has any.
    std::map<EndpointId, std::uint32_t> ownCalls() const;

    //! Returns the predicted waiting time of a call that is queued now.
    Duration predictedWait() const;

    //! Returns the running mean of the service time of a call.
    Duration meanServiceTime() const;

    //! Returns the calls at the pool's endpoints, of all instances as far as known, per slot.
    double occupancy() const;

    std::size_t waitingCount() const;
    std::size_t runningCount() const;
    std::size_t endpointCount() const;
    std::uint64_t interruptionCount() const;

private:
    //! Where the prefix of a branch is cached.
    struct BranchCache
    {
        std::size_t endpoint = 0;
        Tokens tokens = 0; //!< Length of the prefix.
    };

    //! Where prefixes of a program's calls are cached, as far as known.
    struct CacheView
    {
        std::map<std::string, BranchCache> caches{}; //!< By branch; the main line is the empty name.
        std::map<std::size_t, std::map<std::string, Tokens>> parts{}; //!< Cached tokens of each prompt part, by endpoint.
    };

    //! What this instance knows of a program.
    struct ProgramView : CacheView
    {
        double attained = 0.0; //!< Seconds of service received.
        std::size_t openCalls = 0; //!< Waiting and running calls.
        Time usedAt{}; //!< When its latest call was queued.
        std::size_t calls = 0; //!< Calls queued so far.
        std::set<EndpointId> endpoints{}; //!< Every endpoint that got a call.
    };

    struct Waiting
    {
        QueuedCall call{};
        Time key{}; //!< Position in the queue.
        std::uint32_t interrupted = 0; //!< Number of interruptions so far.
        bool firstStart = true; //!< Not yet sent to an endpoint.
        Tokens generated = 0; //!< Tokens generated before an interruption.
        Time queuedAt{};
    };

    struct Running
    {
        QueuedCall call{};
        std::size_t endpoint = 0;
        Time startedAt{};
        Time lastProgress{}; //!< When it started or last made progress.
        bool firstToken = false; //!< The first token has arrived.
        bool interrupting = false; //!< Was chosen for interruption.
        Tokens uncached = 0; //!< Tokens of the prompt that the endpoint had not cached at the start.
        Tokens generated = 0;
        std::uint32_t interrupted = 0;
        std::optional<CacheView> cachesBefore{}; //!< For a call that may be declined: what was known of its program before it was placed.
        double previouslyAttained = 0.0; //!< Seconds of service that the program had received before.
    };

    Time queueKey(const QueuedCall &call, Time now) const;
    bool hasCandidate(const QueuedCall &call) const;

    //! Returns the endpoint that \p call requires, if it takes new calls. It gets the call whatever its load.
    std::optional<std::size_t> requiredIndex(const QueuedCall &call) const;

    //! Returns whether \p call is allowed at the endpoint, whatever its load.
    bool allows(const QueuedCall &call, std::size_t endpoint) const;
    bool wouldBeLate(const QueuedCall &call, Time now) const;

    //! The call to send next and its endpoint.
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
    std::vector<std::size_t> preferredEndpoints(const std::string &key, const std::optional<std::string> &version) const;
    void recordPrefix(std::size_t endpoint, const QueuedCall &call, Tokens generated);
    double estimateByBranch(std::size_t endpoint, const Waiting &waiting) const;
    Tokens cachedTokens(std::size_t endpoint, const QueuedCall &call) const;
    void start(const Waiting &waiting, std::size_t endpoint, Time now);
    void recordService(const Running &running, Time now);
    void addStalled(Time now, std::vector<Interruption> &chosen);
    void addPreempted(Time now, std::vector<Interruption> &chosen);
    Duration quantumFor(const Running &running) const;

    //! Returns the software version at which a running stream would have to go on after an interruption.
    std::optional<std::string> versionFor(const Running &running) const;

    PolicyOptions options;
    std::mt19937_64 random;
    EndpointTable endpoints;
    std::map<std::pair<Time, CallId>, CallId> order; //!< Waiting calls in queue order.
    std::unordered_map<CallId, Waiting> waiting;
    std::map<CallId, Running> running;
    std::unordered_map<ProgramId, ProgramView> programs;
    bool hasRateLimits = false;
    std::size_t limitSharers = 1; //!< Instances that share rate limits.
    std::size_t roundRobin = 0; //!< Next endpoint to try, modulo the number of endpoints.
    std::uint64_t startedCalls = 0;
    std::uint64_t migrations = 0; //!< Interruptions for stalls.
    std::uint64_t interruptedStreams = 0; //!< All interruptions.
    double meanAnswerTokens = 100.0; //!< Mean number of tokens generated per call in the pool.
    double minPrefillTime = 0.00003; //!< Seconds per uncached prompt token at a lightly loaded endpoint.
    double meanTokenGap = 0.03; //!< Mean seconds between two tokens in the pool.
    double meanPrefillTime = 0.0002; //!< Mean seconds per uncached prompt token in the pool, with the wait for a batch slot.
    double meanCallSeconds = 2.0; //!< Mean seconds of service per call in the pool.
    double meanCallsPerProgram = 4.0; //!< Mean number of calls per program in the pool.
};

} // namespace oleandergate

#endif
