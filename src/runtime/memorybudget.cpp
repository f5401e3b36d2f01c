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

//! How often the oldest of those who wait for room asks again, as a holder that was to end may take its time. The others are woken.
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

void MemoryBudget::wakeAfterRelease()
{
    const bool hasRoom = this->ledger.total() <= this->ledger.limit();
    for (auto waiter = this->waiting.begin(); waiter != this->waiting.end(); ++waiter) {
        waiter->second->notify();
        if (!hasRoom) {
            return;
        }
    }
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
        this->budget->waiting.erase(*this->id);
        this->budget->endings.erase(*this->id);
        this->budget->wakeAfterRelease();
    }
    this->id.reset();
}

void HeldMemory::stopWaiting()
{
    if (this->woken) {
        this->stopsWaiting = true;
        this->woken->notify();
    }
}

asio::awaitable<void> HeldMemory::waitForRoom(Time giveUpAt, Time now)
{
    bool isOldest = false;
    {
        const std::lock_guard lock(this->budget->mutex);
        if (!this->woken) {
            this->woken = std::make_shared<AsyncSignal>();
            this->budget->waiting.emplace(*this->id, this->woken);
        }
        isOldest = this->budget->waiting.begin()->first == *this->id;
    }
    const Duration left = giveUpAt - now;
    co_await this->woken->wait(isOldest ? std::min(askInterval, left) : left);
}

void HeldMemory::leaveWaiting()
{
    if (this->woken) {
        const std::lock_guard lock(this->budget->mutex);
        this->budget->waiting.erase(*this->id);
        if (!this->budget->waiting.empty()) {
            // There is an oldest one to ask again.
            this->budget->waiting.begin()->second->notify();
        }
        this->woken.reset();
    }
    this->stopsWaiting = false;
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
            const auto waiter = this->budget->waiting.find(*decision.ended);
            if (waiter != this->budget->waiting.end()) {
                waiter->second->notify();
            }
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

void HeldMemory::note(std::size_t bytes)
{
    if (this->budget != nullptr && (this->id || bytes >= minCountedBytes)) {
        this->resize(bytes, currentTime());
    }
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
            this->leaveWaiting();
            co_return true;
        }
        if (verdict == MemoryVerdict::End || now >= giveUpAt || this->stopsWaiting) {
            this->leaveWaiting();
            this->ended = true;
            co_return false;
        }
        co_await this->waitForRoom(giveUpAt, now);
    }
}

} // namespace oleandergate
