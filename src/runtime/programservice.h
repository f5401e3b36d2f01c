#ifndef OLEANDERGATE_RUNTIME_PROGRAMSERVICE_H
#define OLEANDERGATE_RUNTIME_PROGRAMSERVICE_H

#include "decision/groupcommit.h"
#include "decision/programowner.h"
#include "decision/writebudget.h"
#include "runtime/answerchannel.h"
#include "runtime/interfaces/readycallhandler.h"
#include "runtime/journalstore.h"

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class EventLog;

class LatencyHistogram;
class Metrics;

//! Runs the owner's decisions: shards of slots, each under its own lock, with their journals.
class ProgramService
{
public:
    using PostureSource = std::function<Posture(Time now)>;

    //! Returns the number of live instances.
    using InstanceCount = std::function<std::size_t()>;

    ProgramService(boost::asio::io_context &context,
                   JournalStore &store,
                   const OwnerLimits &limits,
                   std::size_t shardCount,
                   std::string writer,
                   PostureSource posture,
                   EventLog &events,
                   Metrics &metrics);
    ~ProgramService();
    ProgramService(const ProgramService &) = delete;
    ProgramService &operator=(const ProgramService &) = delete;

    //! Sets where calls go that may be sent. Must be called before start().
    void setSink(ReadyCallHandler &sink);

    //! Keeps the journals of the whole fleet within \p fleetWrites a second. Must be called before start().
    void setWriteRate(double fleetWrites, InstanceCount instances);

    //! Starts the journal writers and timers.
    void start();

    std::shared_ptr<AnswerChannel> submit(const CallRequest &request);
    std::shared_ptr<AnswerChannel> create(const ProgramSpec &spec);
    std::shared_ptr<AnswerChannel> end(const ProgramId &program, const OrganisationId &organisation, ProgramPhase phase);

    Result<void> beginSend(CallId call, const EndpointId &endpoint);
    bool mayStillSend(CallId call);
    void push(CallId call, const std::string &text);
    void onAnswer(CallId call, CallAnswer answer);
    //! Returns true when the call is tried again.
    bool onAttemptFailed(CallId call, const AttemptFailure &failure);
    bool beginInterrupt(CallId call);
    bool onInterrupted(CallId call);
    void refuseReady(CallId call, const Error &error);
    void onOutcomeFound(const ProgramId &program, const RequestId &requestId, CallAnswer answer);

    //! Takes over a slot whose record has \p revision.
    void adoptSlot(SlotId slot, std::uint64_t revision, RecoveredSlot recovered);
    void quiesceSlot(SlotId slot);
    void resumeSlot(SlotId slot);
    bool isSlotIdle(SlotId slot);
    void dropSlot(SlotId slot);
    bool ownsSlot(SlotId slot);
    std::vector<SlotId> ownedSlots();

    //! Returns those of \p programs that this instance owns and that are gone.
    std::vector<ProgramId> goneOf(const std::vector<ProgramId> &programs);

    //! Returns a program's state, if this instance owns it.
    std::optional<ProgramState> findProgram(const ProgramId &program);

    //! Calls \p visitor for each program of this instance.
    void forEachProgram(const std::function<void(const ProgramState &)> &visitor);

    std::size_t liveCallCount();

private:
    struct Shard;

    Shard &shardOfSlot(SlotId slot);
    Shard &shardOfProgram(const ProgramId &program);
    Shard &shardOfCall(CallId call);
    CallId newCall(Shard &shard);
    void perform(Shard &shard, std::unique_lock<std::mutex> lock, Actions actions);
    boost::asio::awaitable<void> writeJournal(Shard &shard);
    boost::asio::awaitable<void> runTimers(Shard &shard);
    boost::asio::awaitable<void> checkpointOne(Shard &shard);
    boost::asio::awaitable<void> awaitWriteBudget();
    void settleBatch(Shard &shard, const BatchResolution &resolution);

    boost::asio::io_context &context;
    JournalStore &store;
    OwnerLimits limits;
    PostureSource posture;
    EventLog &events;
    Metrics &metrics;
    LatencyHistogram &journalSeconds;
    ReadyCallHandler *sink = nullptr;
    std::mutex budgetMutex; //!< Guards the write budget.
    std::optional<WriteBudget> writeBudget;
    InstanceCount instances;
    std::atomic<CallId> nextCall{1};
    std::vector<std::unique_ptr<Shard>> shards;
};

} // namespace oleandergate

#endif
