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

//! Runs the programs of the slots that this instance owns. Slots are distributed over shards, each with its own lock, ProgramOwner and
//! journal writer. Thread-safe.
class ProgramService
{
public:
    using OperatingModeSource = std::function<OperatingMode(Time now)>;

    //! Returns the number of live instances.
    using InstanceCount = std::function<std::size_t()>;

    ProgramService(boost::asio::io_context &context,
                   JournalStore &store,
                   const OwnerLimits &limits,
                   std::size_t shardCount,
                   std::string writer,
                   OperatingModeSource operatingMode,
                   EventLog &events,
                   Metrics &metrics);
    ~ProgramService();
    ProgramService(const ProgramService &) = delete;
    ProgramService &operator=(const ProgramService &) = delete;

    //! Sets the handler of calls that are ready to be sent. Must be called before start().
    void setReadyCallHandler(ReadyCallHandler &readyCallHandler);

    //! Limits the journal writes of all instances together to \p clusterWritesPerSecond, of which each instance takes an equal share.
    //! Without this call there is no limit. Must be called before start().
    void setWriteRateLimit(double clusterWritesPerSecond, InstanceCount instances);

    //! Starts the journal writers and timers.
    void start();

    //! submit(), create() and end() pass a command to the ProgramOwner of the program's shard. The channel receives the answer.
    std::shared_ptr<AnswerChannel> submit(const CallRequest &request);
    std::shared_ptr<AnswerChannel> create(const ProgramSpec &spec);
    std::shared_ptr<AnswerChannel> end(const ProgramId &program, const OrganisationId &organisation, ProgramPhase phase);

    //! The functions up to onOutcomeFound(), except push(), forward to the ProgramOwner of the call's or program's shard.
    Result<void> beginSend(CallId call, const EndpointId &endpoint);
    bool mayStillSend(CallId call);

    //! Passes text of a streamed answer to the caller.
    void push(CallId call, const std::string &text);

    void onAnswer(CallId call, CallAnswer answer);

    //! Returns true when the call is tried again.
    bool onAttemptFailed(CallId call, const AttemptFailure &failure);

    bool beginInterrupt(CallId call);
    bool onInterrupted(CallId call);
    void refuseReady(CallId call, const Error &error);
    void onOutcomeFound(const ProgramId &program, const RequestId &requestId, CallAnswer answer);

    //! Takes over a slot whose record has \p revision.
    void acquireSlot(SlotId slot, std::uint64_t revision, RecoveredSlot recovered);
    void quiesceSlot(SlotId slot);
    void resumeSlot(SlotId slot);
    bool isSlotIdle(SlotId slot);
    void dropSlot(SlotId slot);
    bool ownsSlot(SlotId slot);
    std::vector<SlotId> ownedSlots();

    //! Returns those of \p programs whose slot is owned here and which are unknown or no longer running.
    std::vector<ProgramId> filterGonePrograms(const std::vector<ProgramId> &programs);

    //! Returns a copy of a program's state if its slot is owned here.
    std::optional<ProgramState> findProgram(const ProgramId &program);

    //! Calls \p visitor for each program of this instance, under the lock of the program's shard.
    void forEachProgram(const std::function<void(const ProgramState &)> &visitor);

    std::size_t liveCallCount();

private:
    struct Shard;

    Shard &shardOfSlot(SlotId slot);
    Shard &shardOfProgram(const ProgramId &program);
    Shard &shardOfCall(CallId call);
    CallId newCall(Shard &shard);
    //! Carries out \p actions. Unlocks \p lock before it calls the handler and the channels.
    void performActions(Shard &shard, std::unique_lock<std::mutex> lock, Actions actions);
    boost::asio::awaitable<void> writeJournal(Shard &shard);
    boost::asio::awaitable<void> runTimers(Shard &shard);
    boost::asio::awaitable<void> checkpointOne(Shard &shard);
    boost::asio::awaitable<void> awaitWriteBudget();
    void applyBatchResolution(Shard &shard, const BatchResolution &resolution);

    boost::asio::io_context &context;
    JournalStore &store;
    OwnerLimits limits;
    OperatingModeSource operatingMode;
    EventLog &events;
    Metrics &metrics;
    LatencyHistogram &journalSeconds;
    ReadyCallHandler *readyCallHandler = nullptr;
    std::mutex budgetMutex; //!< Guards writeBudget.
    std::optional<WriteBudget> writeBudget;
    InstanceCount instances;
    std::atomic<CallId> nextCall{1};
    std::vector<std::unique_ptr<Shard>> shards;
};

} // namespace oleandergate

#endif
