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
    void offerConfig(std::uint64_t version);

    bool alive = false;
    bool stopping = false;
    Time frozenUntil{};
    Time cutUntil{};
    Time lapseUntil{}; //!< Lease renewals are lost until then.
    Duration clockOffset{};
    Time stopsAfter{};
    InstanceId stoppedAsPlanned{}; //!< The process that ended by a planned stop.
    InstanceId id{};
    std::uint64_t configVersion = 0;
    Time listedAt{}; //!< When the list of endpoints was last read.
    std::set<std::size_t> leavingKnown{};
    bool listStale = false;
    std::unique_ptr<ProgramOwner> owner{};

    //! Runs \p action in this process, if it still lives; later, if it is frozen.
    void inProcess(Duration delay, std::function<void()> action);

private:
    struct Forward
    {
        SimCommand command{};
        Reply reply{};
        Time giveUp{};
        std::uint64_t attempt = 0;
        bool lostTrack = false; //!< An earlier forward got no reply and may still be carried out.
    };

    Time localNow() const;
    OperatingMode posture() const;
    void route(std::uint64_t forward);
    void serve(SimCommand command, Reply reply);
    void perform(Actions actions);
    void send(CallId call);
    void deliverAttempt(CallId call, std::size_t endpoint, CallRequest request, std::uint64_t submission, std::uint64_t epoch, std::uint64_t sequence);
    void writeJournal();
    void keepLease();
    void readView();
    void keepSlots();
    void adopt(SlotId slot, const SlotRecord &record);
    void heartbeat();
    void tickOwner();
    void keepPeak();
    void sweep();
    bool mutated(Mutation mutation) const;

    Simulation &simulation;
    std::size_t index;
    std::uint64_t incarnation = 0;
    std::unique_ptr<GroupCommit> journal;
    std::unique_ptr<SlotTable> table;
    std::unique_ptr<PeakLimiter> peak;
    PeakGrant grant{};
    Connectivity reach{};
    std::map<InstanceId, Time> peersHeard;
    std::map<CallId, Reply> replies;
    std::map<CallId, std::uint64_t> submissions;
    std::map<std::uint64_t, Forward> forwards;
    std::set<SlotId> releasing;
    std::set<SlotId> adopting;
    CallId nextCall = 1;
    std::uint64_t nextForward = 1;
    bool writing = false;
    bool announced = false;

    friend class Simulation;
};

} // namespace oleandergate::fault

#endif
