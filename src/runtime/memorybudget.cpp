#include "runtime/memorybudget.h"

#include "runtime/clock.h"
#include "runtime/log.h"

#include <boost/asio.hpp>

#include <malloc.h>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! Smaller holders are not counted: the memory of a connection includes them.
constexpr std::size_t minCountedBytes = 4096;

//! Blocks of this size go back to the system when they are freed. The allocator would raise the bound with the sizes that it sees, and keep them.
constexpr int mappedBlockBytes = 64 * 1024;

//! How often a holder that waits for room asks again.
constexpr Duration askInterval = std::chrono::milliseconds(50);

} // namespace

MemoryBudget::MemoryBudget(std::size_t heldBytes, Metrics &metrics)
    : ledger(heldBytes)
    , metrics(metrics)
    , endedCounters(metrics.counters("oleandergate_ended_for_memory_total", "held_for", heldForNames))
{
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
}

void MemoryBudget::exportGauges()
{
    const std::lock_guard lock(this->mutex);
    for (const NamedValue<HeldFor> &kind : heldForNames) {
        this->metrics.setGauge("oleandergate_held_bytes", static_cast<double>(this->ledger.total(kind.value)), "held_for=\"" + std::string(kind.name) + "\"");
    }
    this->metrics.setGauge("oleandergate_held_bytes_peak", static_cast<double>(this->ledger.peak()));
    this->metrics.setGauge("oleandergate_held_bytes_limit", static_cast<double>(this->ledger.limit()));
}

HeldMemory::HeldMemory(MemoryBudget *budget, HeldFor kind)
    : budget(budget)
    , kind(kind)
{
}

HeldMemory::~HeldMemory()
{
    this->release();
}

void HeldMemory::describe(HeldFor newKind, bool newIsBounded)
{
    this->kind = newKind;
    this->isBounded = newIsBounded;
    if (this->id) {
        const std::lock_guard lock(this->budget->mutex);
        this->budget->ledger.describe(*this->id, newKind, newIsBounded);
    }
}

void HeldMemory::setEnding(std::function<void()> newOnEnded)
{
    this->onEnded = std::move(newOnEnded);
    if (this->id) {
        const std::lock_guard lock(this->budget->mutex);
        this->budget->endings[*this->id] = this->onEnded;
    }
}

void HeldMemory::release()
{
    this->ended = false;
    if (!this->id) {
        return;
    }
    {
        const std::lock_guard lock(this->budget->mutex);
        this->budget->ledger.close(*this->id);
        this->budget->endings.erase(*this->id);
    }
    this->id.reset();
    this->budget->roomFreed.notify();
}

bool HeldMemory::wasEnded() const
{
    return this->ended;
}

MemoryVerdict HeldMemory::resize(std::size_t bytes, Time now)
{
    MemoryLedger::Decision decision;
    std::function<void()> endOther;
    HeldFor endedKind = this->kind;
    std::size_t endedBytes = bytes;
    std::size_t total = 0;
    {
        const std::lock_guard lock(this->budget->mutex);
        MemoryLedger &ledger = this->budget->ledger;
        if (!this->id) {
            this->id = ledger.open(this->kind);
            ledger.describe(*this->id, this->kind, this->isBounded);
            this->budget->endings[*this->id] = this->onEnded;
        }
        decision = ledger.resize(*this->id, bytes, now);
        total = ledger.total();
        if (decision.ended) {
            endOther = this->budget->endings[*decision.ended];
            endedKind = ledger.kindOf(*decision.ended);
            endedBytes = ledger.bytesOf(*decision.ended);
        }
    }
    const bool isNewlyEnded = decision.verdict == MemoryVerdict::End && !this->ended;
    if (decision.ended || isNewlyEnded) {
        this->budget->endedCounters.at(static_cast<std::size_t>(endedKind))->add();
        logRecord(LogLevel::Warning,
                  "memory",
                  "ended a holder for lack of memory",
                  {{"held_for", std::string(nameIn(heldForNames, endedKind))},
                   {"bytes", std::to_string(endedBytes)},
                   {"held_bytes", std::to_string(total)},
                   {"itself", isNewlyEnded ? "yes" : "no"}});
    }
    if (endOther) {
        endOther();
    }
    return decision.verdict;
}

asio::awaitable<bool> HeldMemory::hold(std::size_t bytes, Time giveUpAt)
{
    if (this->budget == nullptr || (!this->id && bytes < minCountedBytes)) {
        co_return true;
    }
    while (true) {
        const Time now = currentTime();
        const MemoryVerdict verdict = this->resize(bytes, now);
        if (verdict == MemoryVerdict::Granted) {
            co_return true;
        }
        if (verdict == MemoryVerdict::End || now >= giveUpAt) {
            this->ended = true;
            co_return false;
        }
        co_await this->budget->roomFreed.wait(std::min(askInterval, giveUpAt - now));
    }
}

} // namespace oleandergate
