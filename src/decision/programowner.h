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

//! Controls the programs in the slots that this instance owns: the order of their calls, at-most-once sending of calls that
//! are not idempotent, their budgets and their histories.
//!
//! Methods return the actions that the runtime has to perform. The class does no I/O, reads no clock and
//! is not thread-safe; the runtime has one instance of it per shard, under the shard's lock.
class ProgramOwner
{
public:
    explicit ProgramOwner(const OwnerLimits &limits);

    //! Takes over \p slot with the programs recovered from its journal. Calls with an intent but no outcome in the journal,
    //! which the previous owner may have sent, end with an unknown outcome.
    Actions acquireSlot(SlotId slot, std::vector<ProgramState> programs, Time now);

    //! Stops admitting calls in \p slot before it is handed over. Calls that wait for earlier calls of their branch or for an
    //! endpoint end with ErrorCode::SlotMoving.
    Actions quiesceSlot(SlotId slot, Time now);

    //! Admits calls in \p slot again after a hand-over was cancelled.
    void resumeSlot(SlotId slot);

    //! Returns true when \p slot has no call and no journal commit in progress.
    bool isSlotIdle(SlotId slot) const;

    //! Removes \p slot and its programs. Calls in progress end with ErrorCode::NotOwner, except calls that are not idempotent and
    //! whose answer has arrived: their callers get the answer.
    Actions dropSlot(SlotId slot);

    bool ownsSlot(SlotId slot) const;
    std::vector<SlotId> ownedSlots() const;

    //! Creates a program. Creating the same program again succeeds.
    Actions createProgram(CallId call, const ProgramSpec &spec, OperatingMode mode, Time now);

    //! Ends a program with \p phase and cancels its calls in progress, except those that are not idempotent and already sent.
    Actions endProgram(CallId call, const ProgramId &program, const OrganisationId &organisation, ProgramPhase phase, OperatingMode mode, Time now);

    //! Submits a call. A ReadyAction or DeliverAction for it follows now or later.
    Actions submit(CallId call, const CallRequest &request, OperatingMode mode, Time now);

    //! Marks a ready call as sent to \p endpoint, or returns why it must not be sent. Must be called directly before sending.
    Result<void> beginSend(CallId call, const EndpointId &endpoint, OperatingMode mode, Time now);

    //! Returns true when a call that passed beginSend() may still be sent. Called directly before the first byte is
    //! written, it prevents a process that was paused in between from sending on an outdated decision.
    bool mayStillSend(CallId call, OperatingMode mode, Time now);

    //! Handles the complete answer to a sent call.
    Actions onAnswer(CallId call, CallAnswer answer, Time now);

    //! Handles a failed attempt: the call becomes ready again or ends.
    Actions onAttemptFailed(CallId call, const AttemptFailure &failure, Time now);

    //! Reserves budget for the attempt that resumes the call's stream after the dispatcher interrupts it. Returns false when the
    //! stream must not be interrupted, for example because the budget does not cover another attempt.
    bool beginInterrupt(CallId call);

    //! Makes a call ready again after its stream was interrupted. Returns false when the call has ended meanwhile.
    bool onInterrupted(CallId call, Time now);

    //! Records the outcome that a service reported for a call that had ended as unknown.
    Actions onOutcomeFound(const ProgramId &program, const RequestId &requestId, CallAnswer answer, Time now);

    //! Ends a ready call with an error instead of sending it.
    Actions refuseReady(CallId call, ErrorCode code, Step step, std::optional<Duration> retryAfter, std::string detail, Time now);

    //! Continues what waits for \p commitId, whose entries are now durable.
    Actions onCommitted(CommitId commitId, Time now);

    //! Drops the slot of \p commitId, whose entries can never become durable because the slot has a new owner.
    Actions onCommitLost(CommitId commitId);

    //! Handles the timers that are due at \p now.
    Actions tick(OperatingMode mode, Time now);

    //! Returns the time at which tick() is next needed, if at all.
    std::optional<Time> nextTick() const;

    //! Returns a program's state, or nullptr.
    const ProgramState *findProgram(const ProgramId &program) const;

    //! Returns a call in progress, or nullptr.
    const LiveCall *findCall(CallId call) const;

    //! Calls \p visitor for each program of \p slot.
    void forEachProgram(SlotId slot, const std::function<void(const ProgramState &)> &visitor) const;

    //! Returns true when \p program belongs to an owned slot and has ended or does not exist there, so that endpoints may release
    //! its cache. Returns false for all programs of other slots.
    bool isProgramGone(const ProgramId &program) const;

    std::size_t liveCallCount() const;
    std::size_t programCount() const;

private:
    struct Branch
    {
        CallId running = 0; //!< 0 when there is none.
        std::map<std::uint64_t, CallId> waiting{}; //!< By sequence.
        std::uint64_t recoveredNextSequence = 0; //!< Next sequence by the recovered journal: the previous owner may have sent this call. 0 if not recovered.
    };

    struct Program
    {
        ProgramState state{};
        MicroUnits usableBudget = 0; //!< Part of the durably journalled budget blocks that no call has reserved or spent.
        bool recovered = false;
        bool durable = false; //!< Its creation is journalled.
        std::map<std::string, Branch> branches{};
        std::unordered_map<RequestId, CallId> calls{};
        std::set<RequestId> unconfirmed{}; //!< Ended calls whose outcome is not known to be durable.
        std::set<RequestId> maybeSent{}; //!< Requests that may have reached an endpoint.
        std::set<EndpointId> endpoints{}; //!< Endpoints that may hold cache for the program.
    };

    struct Slot
    {
        bool quiesced = false;
        std::set<ProgramId> programs{};
    };

    //! Purpose of a commit whose result is not known yet.
    struct PendingCommit
    {
        enum class Purpose : std::uint8_t {
            Create, //!< Creation of a program.
            End, //!< End of a program.
            BeforeSend, //!< Intent or budget block of a call.
            Outcome, //!< Outcome of a call.
            NoWaiter //!< Entries for which no call waits.
        };
        Purpose purpose = Purpose::Create;
        SlotId slot = 0;
        ProgramId program{};
        std::vector<CallId> calls{}; //!< Calls that wait for the result.
        MicroUnits drawnSurplus = 0; //!< Part of the drawn block that becomes usable budget with the commit.
        RequestId request{};
        bool delivered = false; //!< The callers were answered before the result was known.
    };

    //! A timer of a call, a commit or a program; the fields of the other two are empty.
    struct Timer
    {
        Time at{};
        CallId call = 0;
        CommitId commitId = 0;
        ProgramId program{};
        bool operator>(const Timer &other) const
        {
            return this->at > other.at;
        }
    };

    //! Returns \p program if it exists and belongs to \p organisation, or nullptr.
    Program *programFor(const ProgramId &program, const OrganisationId &organisation);
    //! Returns the program of a call in progress; never nullptr.
    Program *programOfCall(const LiveCall &call);
    bool mayHaveRun(const Program &program, const LiveCall &call) const;
    Executed executedIfRefused(const Program &program, const LiveCall &call) const;
    Error errorFor(const Program &program, const LiveCall &call, ErrorCode code, Step step, std::optional<Duration> retryAfter, std::string detail) const;
    std::optional<Error> checkProgram(const Program &program, const LiveCall &call, Time now) const;
    //! Returns true when \p call is next in its branch; otherwise queues it behind earlier calls or refuses it.
    bool placeInOrder(Program &program, LiveCall &call, Time now, Actions &actions);
    //! Answers a repeated request from the history, or lets it wait for the call in progress. Returns false for a new request.
    bool replay(Program &program, CallId call, const CallRequest &request, Actions &actions);
    void admit(Program &program, LiveCall &call, Time now, Actions &actions);
    //! Reserves one attempt of \p call. When that needs a new block, adds its entry to \p entries and sets \p surplus to the part
    //! of the block that this attempt does not need. Returns false when the program's budget does not cover the call.
    bool reserveBudget(Program &program, LiveCall &call, std::vector<JournalEntry> &entries, MicroUnits &surplus);
    void makeReady(LiveCall &call, Time now, Actions &actions);
    void journalOutcome(Program &program, LiveCall &call, TurnRecord turn, Time now, Actions &actions);
    //! Answers a call with \p error. Removes the call unless it is the running one of its branch, which finish() removes.
    void refuse(LiveCall &call, Error error, Actions &actions);
    void deliver(LiveCall &call, const Result<CallAnswer> &outcome, Actions &actions);
    void deliverOutcome(LiveCall &call, Actions &actions);
    void finish(CallId call, Time now, Actions &actions);
    void startNextCall(Program &program, const std::string &branchName, Time now, Actions &actions);
    void releaseReserve(Program &program, LiveCall &call, MicroUnits cost);
    CommitId commit(SlotId slot, PendingCommit pending, std::vector<JournalEntry> entries, Time timeoutAt, Actions &actions);
    void markEnded(Program &program, ProgramPhase phase, Time now, std::vector<CallId> callsToAnswer, Actions &actions);
    void onCallTimer(CallId call, Time now, Actions &actions);
    void onCommitTimer(CommitId commitId, Time now, Actions &actions);
    void onProgramTimer(const ProgramId &program, Time now, Actions &actions);
    //! Answers a call with an error and removes it, unless a commit or a sent request of it still has to finish.
    void failCall(LiveCall &call, ErrorCode code, Step step, const std::string &detail, Time now, Actions &actions);
    void startTimer(Time at, CallId call, CommitId commitId, const ProgramId &program);
    //! Journals that the intended \p call was not sent; does nothing without an intent, or after an attempt that may have
    //! reached an endpoint.
    void voidIntent(LiveCall &call, Time now, Actions &actions);
    static std::uint64_t nextSequenceOf(const Program &program, const std::string &branch);
    //! Ends the calls whose intents a previous owner left open, with an unknown outcome.
    void closeOpenIntents(Program &program, Time now, Actions &actions);
    static void queryOutcomes(const ProgramState &state, Actions &actions);
    void removeProgram(const ProgramId &program, Time now);

    OwnerLimits limits;
    OperatingMode latestMode = OperatingMode::Normal;
    CommitId nextCommitId = 1;
    std::size_t unconfirmedTurns = 0;
    std::map<SlotId, Slot> slots;
    std::unordered_map<ProgramId, Program> programs;
    std::unordered_map<CallId, LiveCall> calls;
    std::unordered_map<CommitId, PendingCommit> pendingCommits;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
};

} // namespace oleandergate

#endif
