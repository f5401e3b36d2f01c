#ifndef OLEANDERGATE_FAULT_SIMINSTANCE_H
#define OLEANDERGATE_FAULT_SIMINSTANCE_H

#include "decision/groupcommit.h"
#include "decision/peaklimiter.h"
#include "decision/programowner.h"
#include "decision/slottable.h"
#include "fault/faultplan.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace oleandergate::fault {

class Simulation;

//! Receives the final outcome of a submission.
using Reply = std::function<void(const Result<CallAnswer> &)>;

//! A request of a caller to the owner of its program.
struct SimCommand
{
    enum class Kind : std::uint8_t { Create, Call, End };
    Kind kind = Kind::Call;
    CallRequest request{}; //!< For Call; for End only program and organisation are set.
    ProgramSpec spec{}; //!< For Create.
    std::uint64_t submission = 0;
};

//! Simulates an instance: the decision library with a driver that stands in for the runtime. The instance outlives its
//! processes; each start has a new incarnation and a new id.
class SimInstance
{
public:
    SimInstance(Simulation &simulation, std::size_t index);

    //! Starts a new process with empty state.
    void start();
    //! Ends the process at once.
    void kill();
    //! Pauses the process for \p length.
    void freeze(Duration length);
    //! Begins a planned stop: the process hands its slots over, completes its calls and ends.
    void stop();

    //! Accepts a caller's command and forwards it to the owner. \p reply is not called if this process ends first.
    void accept(SimCommand command, Reply reply);

    //! Activates configuration \p version if it is newer than the active one.
    void activateConfigIfNewer(std::uint64_t version);

    bool alive = false;
    bool stopping = false;
    Time frozenUntil{}; //!< The process is paused until then.
    Time disconnectedUntil{}; //!< Messages from and to peers are lost until then.
    Time renewalsLostUntil{}; //!< Lease renewals are lost until then.
    Duration clockOffset{}; //!< Local clock minus virtual time.
    Time mayStopAt{}; //!< A planned stop does not end the process before, so that load balancers notice.
    InstanceId stoppedProcess{}; //!< Id of the process that ended by a planned stop; empty if none has.
    InstanceId id{};
    std::uint64_t configVersion = 0; //!< Active version; 0 before the first.
    Time endpointListReadAt{}; //!< When the endpoint list was last read.
    std::set<std::size_t> knownLeavingEndpoints{}; //!< Indexes of endpoints that were leaving when the list was read.
    bool endpointListStale = false; //!< The endpoint list is not read.
    std::unique_ptr<ProgramOwner> owner{};

    //! Runs \p action after \p delay if the current process is still alive then; if it is frozen, as soon as it continues.
    void runInProcess(Duration delay, std::function<void()> action);

private:
    //! A command that this instance accepted and has not answered yet.
    struct Forward
    {
        SimCommand command{};
        Reply reply{};
        Time giveUpAt{};
        std::uint64_t attempt = 0; //!< Number of the latest attempt; replies to earlier ones are dropped.
        bool hasUnansweredAttempt = false; //!< An earlier attempt was not answered and may still be executed.
    };

    //! Returns virtual time by the local clock, which deviates by clockOffset.
    Time localNow() const;
    OperatingMode operatingMode() const;
    void route(std::uint64_t forward);
    void serve(SimCommand command, Reply reply);
    void perform(Actions actions);
    void send(CallId call);
    void sendToEndpoint(CallId call, std::size_t endpoint, CallRequest request, std::uint64_t submission, std::uint64_t epoch, std::uint64_t sequence);
    void writeJournal();
    void renewLease();
    void readClusterState();
    void maintainSlots();
    void recoverSlot(SlotId slot, const SlotRecord &record);
    void heartbeat();
    void tickOwner();
    void renewPeakGrant();
    //! Removes the cached prefixes of ended programs from all endpoints, and repeats this at intervals.
    void sweepCaches();
    bool hasMutation(Mutation mutation) const;

    Simulation &simulation;
    std::size_t index;
    std::uint64_t incarnation = 0;
    std::unique_ptr<GroupCommit> journal;
    std::unique_ptr<SlotTable> table;
    std::unique_ptr<PeakLimiter> peakLimiter;
    PeakGrant grant{};
    Connectivity connectivity{};
    std::map<InstanceId, Time> lastPeerContact;
    std::map<CallId, Reply> replies; //!< Replies still to be given as owner.
    std::map<CallId, std::uint64_t> submissions;
    std::map<std::uint64_t, Forward> forwards;
    std::set<SlotId> releasingSlots;
    std::set<SlotId> recoveringSlots;
    CallId nextCall = 1;
    std::uint64_t nextForward = 1;
    bool writing = false;
    bool registered = false;

    friend class Simulation;
};

} // namespace oleandergate::fault

#endif
