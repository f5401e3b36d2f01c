#include "decision/memoryledger.h"

#include <algorithm>
#include <tuple>

namespace oleandergate {

namespace {

//! Time in which an ended holder gives back what it holds; after it another one is ended.
constexpr Duration endingTime = std::chrono::milliseconds(200);

} // namespace

MemoryLedger::MemoryLedger(std::size_t limit)
    : maxBytes(limit)
{
}

HolderId MemoryLedger::open(HeldFor kind)
{
    const HolderId id = this->nextHolder++;
    this->holders[id].kind = kind;
    return id;
}

void MemoryLedger::close(HolderId holder)
{
    const Holder &closed = this->holders.at(holder);
    this->held -= closed.bytes;
    this->heldByKind.at(static_cast<std::size_t>(closed.kind)) -= closed.bytes;
    this->holders.erase(holder);
}

void MemoryLedger::describe(HolderId holder, HeldFor kind, bool isBounded)
{
    Holder &described = this->holders.at(holder);
    this->heldByKind.at(static_cast<std::size_t>(described.kind)) -= described.bytes;
    this->heldByKind.at(static_cast<std::size_t>(kind)) += described.bytes;
    described.kind = kind;
    described.isBounded = isBounded;
}

MemoryLedger::Decision MemoryLedger::resize(HolderId holder, std::size_t bytes, Time now)
{
    Holder &resized = this->holders.at(holder);
    this->held += bytes - resized.bytes;
    this->heldByKind.at(static_cast<std::size_t>(resized.kind)) += bytes - resized.bytes;
    resized.bytes = bytes;
    this->highest = std::max(this->highest, this->held);
    if (resized.endedAt) {
        return {MemoryVerdict::End, std::nullopt};
    }
    if (this->held <= this->maxBytes || resized.kind == HeldFor::StoreAnswer) {
        return {MemoryVerdict::Granted, std::nullopt};
    }
    if (this->isEnding(now)) {
        return {MemoryVerdict::Wait, std::nullopt};
    }
    const std::optional<HolderId> victim = this->findVictim();
    if (!victim || *victim == holder) {
        resized.endedAt = now;
        this->lastEnded = holder;
        return {MemoryVerdict::End, std::nullopt};
    }
    this->holders.at(*victim).endedAt = now;
    this->lastEnded = *victim;
    return {MemoryVerdict::Wait, victim};
}

bool MemoryLedger::isEnding(Time now) const
{
    const auto ending = this->holders.find(this->lastEnded);
    return ending != this->holders.end() && now - *ending->second.endedAt < endingTime;
}

std::optional<HolderId> MemoryLedger::findVictim() const
{
    std::optional<HolderId> found;
    std::tuple<bool, std::size_t> highestRank;
    for (const auto &[id, holder] : this->holders) {
        const std::tuple rank(!holder.isBounded, holder.bytes);
        const bool mayEnd = holder.kind != HeldFor::Request && holder.kind != HeldFor::StoreAnswer && !holder.endedAt && holder.bytes > 0;
        if (mayEnd && (!found || rank > highestRank)) {
            found = id;
            highestRank = rank;
        }
    }
    return found;
}

std::size_t MemoryLedger::total() const
{
    return this->held;
}

std::size_t MemoryLedger::total(HeldFor kind) const
{
    return this->heldByKind.at(static_cast<std::size_t>(kind));
}

std::size_t MemoryLedger::peak() const
{
    return this->highest;
}

std::size_t MemoryLedger::limit() const
{
    return this->maxBytes;
}

std::size_t MemoryLedger::bytesOf(HolderId holder) const
{
    return this->holders.at(holder).bytes;
}

HeldFor MemoryLedger::kindOf(HolderId holder) const
{
    return this->holders.at(holder).kind;
}

} // namespace oleandergate
