#ifndef OLEANDERGATE_DECISION_PROGRAMOWNER_H
#define OLEANDERGATE_DECISION_PROGRAMOWNER_H

#include "decision/action.h"
#include "decision/attemptfailure.h"
#include "decision/callrequest.h"
#include "decision/livecall.h"
#include "decision/operatingmode.h"
#include "decision/ownerlimits.h"
#include "decision/programstate.h"

#include <functional>
#include <queue>
#include <set>
#include <unordered_map>

namespace oleandergate {

//! Decides for the programs of the slots that this instance owns: order, at-most-once, budget, history.
//!
//! Every method returns what the runtime has to do next. The class does no I/O, reads no clock and
//! is not thread-safe; the runtime keeps one per shard under the shard's lock.
class ProgramOwner
{
public:
    explicit ProgramOwner(const OwnerLimits &limits);

    //! Takes over \p slot with the programs recovered from its journal. Calls that a predecessor may have sent without
    //! journalling an outcome are closed as unknown.
    Actions adoptSlot(SlotId slot, std::vector<ProgramState> programs, Time now);

    //! Stops admitting calls in \p slot, ahead of handing it over. Calls not yet sent are refused as moving.
    Actions quiesceSlot(SlotId slot, Time now);

    //! Admits calls in \p slot again, when it is not to be handed over after all.
    void resumeSlot(SlotId slot);

    //! Returns true when nothing is under way in \p slot.
    bool isSlotIdle(SlotId slot) const;

    //! Gives up \p slot. Calls under way get their final answer.
    Actions dropSlot(SlotId slot);

    bool ownsSlot(SlotId slot) const;
    std::vector<SlotId> ownedSlots() const;

    //! Creates a program. Creating the same program again succeeds.
    Actions createProgram(CallId call, const ProgramSpec &spec, OperatingMode posture, Time now);

    //! Takes a program out of the Running phase and cancels what it has under way.
    Actions endProgram(CallId call, const ProgramId &program, const OrganisationId &organisation, ProgramPhase phase, OperatingMode posture, Time now);

    //! Takes in one call.
    Actions submit(CallId call, const CallRequest &request, OperatingMode posture, Time now);

    //! Asks leave to send a Ready call to \p endpoint. Must be called directly before sending.
    Result<void> beginSend(CallId call, const EndpointId &endpoint, OperatingMode posture, Time now);

    //! Returns true when a call, once allowed by beginSend(), may still be sent. Asked directly before the first byte
    //! leaves, it keeps a process that was paused from sending what was decided long ago.
    bool mayStillSend(CallId call, OperatingMode posture, Time now);

    //! Takes the whole answer to a sent call.
    Actions onAnswer(CallId call, CallAnswer answer, Time now);

    //! Takes the failure of an attempt.
    Actions onAttemptFailed(CallId call, const AttemptFailure &failure, Time now);

    //! Reserves what resuming an interrupted stream costs. Returns false when the stream has to go on.
    bool beginInterrupt(CallId call);

    //! The stream of a call was interrupted; it may be sent again. Returns false when the call was given up meanwhile.
    bool onInterrupted(CallId call, Time now);

    //! A service told the outcome of a call that had ended as unknown.
    Actions onOutcomeFound(const ProgramId &program, const RequestId &requestId, CallAnswer answer, Time now);

    //! Refuses a Ready call, which is not sent any more.
    Actions refuseReady(CallId call, ErrorCode code, Step step, std::optional<Duration> retryAfter, std::string detail, Time now);

    //! The entries of \p ticket are durable.
    Actions onCommitted(CommitId ticket, Time now);

    //! The entries of \p ticket can never become durable, because the slot has a new owner.
    Actions onCommitLost(CommitId ticket);

    //! Acts on time limits that are due.
    Actions tick(OperatingMode posture, Time now);

    //! Returns when tick() is next needed, if at all.
    std::optional<Time> nextTick() const;

    //! Returns a program's state, or nullptr.
    const ProgramState *findProgram(const ProgramId &program) const;

    //! Returns a call under way, or nullptr.
    const LiveCall *findCall(CallId call) const;

    //! Calls \p visitor for each program of \p slot.
    void forEachProgram(SlotId slot, const std::function<void(const ProgramState &)> &visitor) const;

    //! Returns true when endpoints may free what they hold for \p program. False for programs of slots not owned.
    bool isProgramGone(const ProgramId &program) const;

    std::size_t liveCallCount() const;
    std::size_t programCount() const;

private:
    struct Branch
    {
        CallId running = 0;
        std::map<std::uint64_t, CallId> waiting{};
        std::uint64_t recoveredNext = 0; //!< Call that a predecessor may have sent; 0 when there is none.
    };

    struct Program
    {
        ProgramState state{};
        MicroUnits usable = 0; //!< Drawn, durable and not reserved by a call.
        bool recovered = false;
        bool durable = false; //!< Its creation is journalled.
        std::map<std::string, Branch> branches{};
        std::unordered_map<RequestId, CallId> calls{};
        std::set<RequestId> unconfirmed{}; //!< Turns whose outcome is not known to be durable.
        std::set<RequestId> maybeRan{}; //!< Requests that were sent and then given up.
        std::set<EndpointId> endpoints{}; //!< Endpoints that may hold cache for the program.
    };

    struct Slot
    {
        bool quiesced = false;
        std::set<ProgramId> programs{};
    };

    //! What a ticket was for.
    struct Pending
    {
        enum class Purpose : std::uint8_t { Create, End, BeforeSend, Outcome, Void };
        Purpose purpose = Purpose::Create;
        SlotId slot = 0;
        ProgramId program{};
        std::vector<CallId> calls{}; //!< Calls to answer.
        MicroUnits draw = 0;
        RequestId request{};
        bool delivered = false;
    };

    struct Due
    {
        Time at{};
        CallId call = 0;
        CommitId ticket = 0;
        ProgramId program{};
        bool operator>(const Due &other) const
        {
            return this->at > other.at;
        }
    };

    Program *programFor(const ProgramId &program, const OrganisationId &organisation);
    Program *programOfCall(const LiveCall &call);
    bool mayHaveRun(const Program &program, const LiveCall &call) const;
    Executed ranIfRefused(const Program &program, const LiveCall &call) const;
    Error errorFor(const Program &program, const LiveCall &call, ErrorCode code, Step step, std::optional<Duration> retryAfter, std::string detail) const;
    std::optional<Error> checkProgram(const Program &program, const LiveCall &call, Time now) const;
    bool placeInOrder(Program &program, LiveCall &call, Time now, Actions &actions);
    bool replay(Program &program, CallId call, const CallRequest &request, Actions &actions);
    void admit(Program &program, LiveCall &call, Time now, Actions &actions);
    bool reserveBudget(Program &program, LiveCall &call, std::vector<JournalEntry> &entries, MicroUnits &surplus);
    void makeReady(LiveCall &call, Time now, Actions &actions);
    void settle(Program &program, LiveCall &call, TurnRecord turn, Time now, Actions &actions);
    void refuse(LiveCall &call, Error error, Actions &actions);
    void deliver(LiveCall &call, const Result<CallAnswer> &outcome, Actions &actions);
    void deliverOutcome(LiveCall &call, Actions &actions);
    void finish(CallId call, Time now, Actions &actions);
    void pump(Program &program, const std::string &branchName, Time now, Actions &actions);
    void releaseReserve(Program &program, LiveCall &call, MicroUnits cost);
    CommitId commit(SlotId slot, Pending pending, std::vector<JournalEntry> entries, Time dueAt, Actions &actions);
    void markEnded(Program &program, ProgramPhase phase, Time now, std::vector<CallId> answerTo, Actions &actions);
    void tickCall(CallId call, Time now, Actions &actions);
    void tickTicket(CommitId ticket, Time now, Actions &actions);
    void tickProgram(const ProgramId &program, Time now, Actions &actions);
    void giveUp(LiveCall &call, ErrorCode code, Step step, const std::string &detail, Time now, Actions &actions);
    void watch(Time at, CallId call, CommitId ticket, const ProgramId &program);
    void voidIntent(LiveCall &call, Time now, Actions &actions);
    static std::uint64_t nextSequenceOf(const Program &program, const std::string &branch);
    void closeIntents(Program &program, Time now, Actions &actions);
    static void askOutcomes(const ProgramState &state, Actions &actions);
    void forget(const ProgramId &program, Time now);

    OwnerLimits limits;
    OperatingMode latestPosture = OperatingMode::Normal;
    CommitId nextTicket = 1;
    std::size_t unconfirmedTurns = 0;
    std::map<SlotId, Slot> slots;
    std::unordered_map<ProgramId, Program> programs;
    std::unordered_map<CallId, LiveCall> calls;
    std::unordered_map<CommitId, Pending> pendings;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> dues;
};

} // namespace oleandergate

#endif
