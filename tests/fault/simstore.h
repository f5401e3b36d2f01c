#ifndef OLEANDERGATE_FAULT_SIMSTORE_H
#define OLEANDERGATE_FAULT_SIMSTORE_H

#include "decision/commitbatch.h"
#include "decision/configversions.h"
#include "decision/peaklimiter.h"
#include "decision/slottable.h"

#include <functional>
#include <map>
#include <optional>

namespace oleandergate::fault {

class Simulation;

//! A log record in the key-value service.
struct StoredRecord
{
    std::string identity{}; //!< Identity of the batch that wrote the record.
    std::vector<JournalEntry> entries{};
};

//! Simulates the key-value service. call() adds the delays and faults of the way there and back; the other functions take
//! effect at once.
class SimStore
{
public:
    explicit SimStore(Simulation &simulation);

    //! Runs \p operation after the network delay, then \p done: with true after an answer, with false after a timeout, in which
    //! case \p operation may have run or may still run.
    void call(std::function<void()> operation, std::function<void(bool answered)> done);

    //! Writes all records of \p batch, or none if a slot has another revision or a record number is in use.
    BatchResult write(const CommitBatch &batch);
    //! Makes \p owner the owner of \p slot, with the next epoch. Fails if the slot has changed or its owner is registered.
    bool claim(SlotId slot, const SlotRecord &expected, const InstanceId &owner);
    //! Removes the owner of \p slot. Fails if the slot has changed.
    bool release(SlotId slot, const SlotRecord &expected);
    std::vector<StoredRecord> readLog(SlotId slot) const;
    //! Registers an instance with a new lease.
    void putInstance(const InstanceRecord &record);
    void removeInstance(const InstanceId &id);
    //! Extends the lease of \p id. Fails if it has expired.
    bool renew(const InstanceId &id);
    //! Removes instances whose leases have expired; while the service is down, leases do not expire.
    void removeExpired();
    //! Starts or ends an outage. At its end all leases are extended by their full length.
    void setDown(bool down);

    struct LeasedInstance
    {
        InstanceRecord record{};
        Time expiresAt{};
    };

    bool down = false;
    bool slow = false;
    int answersToLose = 0; //!< Number of operations whose answers will be lost.
    int writesToDelay = 0; //!< Number of operations that will run only after their callers have timed out.
    std::uint64_t revision = 1;
    std::map<SlotId, SlotRecord> slots{};
    std::map<SlotId, std::map<std::uint64_t, StoredRecord>> logs{};
    std::map<InstanceId, LeasedInstance> instances{};
    ConfigStamp config{};
    std::map<std::uint64_t, Time> configTimes{}; //!< When each version was accepted.
    PeakLedger peakLedger{};
    std::uint64_t peakLedgerRevision = 1;

private:
    Simulation &simulation;
};

} // namespace oleandergate::fault

#endif
