#ifndef OLEANDERGATE_FAULT_SIMINSTANCE_H
#define OLEANDERGATE_FAULT_SIMINSTANCE_H

#include "decision/groupcommit.h"
#include "decision/minutepeak.h"
#include "decision/programowner.h"
#include "decision/slottable.h"
#include "fault/faultplan.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace oleandergate::fault {

class Simulation;

//! Gives the final answer to a submission.
using Reply = std::function<void(const Result<CallAnswer> &)>;

//! Something an owner is asked to do.
struct SimCommand
{
    enum class Kind : std::uint8_t { Create, Call, End };
    Kind kind = Kind::Call;
    CallRequest request{};
    ProgramSpec spec{};
    std::uint64_t submission = 0;
};

//! One entry instance: the decision library with a thin driver, as the runtime has it.
class SimInstance
{
public:
    SimInstance(Simulation &simulation, std::size_t index);

    //! Starts a new process.
    void start();
    void kill();
    void freeze(Duration length);
    void stop();

    //! Takes a caller's command and forwards it to the owner. \p reply is lost when this process dies.
    void accept(SimCommand command, Reply reply);

    //! Puts \p version in force, if it is newer.
    void activateConfigIfNewer(std::uint64_t version);

    bool alive = false;
    bool stopping = false;
    Time frozenUntil{};
    Time disconnectedUntil{};
    Time renewalsLostUntil{}; //!< Lease renewals are lost until then.
    Duration clockOffset{};
    Time mayStopAt{};
    InstanceId stoppedProcess{}; //!< The process that ended by a planned stop.
    InstanceId id{};
    std::uint64_t configVersion = 0;
    Time endpointListReadAt{}; //!< When the list of endpoints was last read.
    std::set<std::size_t> knownLeavingEndpoints{};
    bool endpointListStale = false;
    std::unique_ptr<ProgramOwner> owner{};

    //! Runs \p action in this process, if it still lives; later, if it is frozen.
    void runInProcess(Duration delay, std::function<void()> action);

private:
    struct Forward
    {
        SimCommand command{};
        Reply reply{};
        Time giveUpAt{};
        std::uint64_t attempt = 0;
        bool hasUnansweredAttempt = false; //!< An earlier forward got no reply and may still be carried out.
    };

    Time localNow() const;
    Posture operatingMode() const;
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
    void sweepCaches();
    bool hasMutation(Mutation mutation) const;

    Simulation &simulation;
    std::size_t index;
    std::uint64_t incarnation = 0;
    std::unique_ptr<GroupCommit> journal;
    std::unique_ptr<SlotTable> table;
    std::unique_ptr<MinutePeak> peak;
    PeakGrant grant{};
    ReachView connectivity{};
    std::map<InstanceId, Time> lastPeerContact;
    std::map<CallId, Reply> replies;
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
