#ifndef OLEANDERGATE_FAULT_SIMSTORE_H
#define OLEANDERGATE_FAULT_SIMSTORE_H

#include "decision/commitbatch.h"
#include "decision/configversions.h"
#include "decision/minutepeak.h"
#include "decision/slottable.h"

#include <functional>
#include <map>
#include <optional>

namespace oleandergate::fault {

class Simulation;

//! A log record as stored.
struct StoredRecord
{
    std::string identity{};
    std::vector<JournalEntry> entries{};
};

//! Fake of the key-value service, with its faults.
class SimStore
{
public:
    explicit SimStore(Simulation &simulation);

    //! Carries \p operation to the service and its success back; \p done gets false when no answer came.
    void call(std::function<void()> operation, std::function<void(bool answered)> done);

    BatchResult write(const CommitBatch &batch);
    bool claim(SlotId slot, const SlotRecord &expected, const InstanceId &owner);
    bool release(SlotId slot, const SlotRecord &expected);
    std::vector<StoredRecord> readLog(SlotId slot) const;
    void putInstance(const InstanceRecord &record);
    void removeInstance(const InstanceId &id);
    bool renew(const InstanceId &id);
    void removeExpired();
    void setDown(bool down);

    struct LeasedInstance
    {
        InstanceRecord record{};
        Time expiresAt{};
    };

    bool down = false;
    bool slow = false;
    int answersToLose = 0; //!< Answers yet to lose.
    int writesToDelay = 0; //!< Writes yet to delay beyond their writers' patience.
    std::uint64_t revision = 1;
    std::map<SlotId, SlotRecord> slots{};
    std::map<SlotId, std::map<std::uint64_t, StoredRecord>> logs{};
    std::map<InstanceId, LeasedInstance> instances{};
    ConfigStamp config{};
    std::map<std::uint64_t, Time> configTimes{}; //!< When each version was accepted.
    PeakLedger peak{};
    std::uint64_t peakRevision = 1;

private:
    Simulation &simulation;
};

} // namespace oleandergate::fault

#endif
