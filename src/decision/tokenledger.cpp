#include "decision/tokenledger.h"

#include <algorithm>

namespace oleandergate {

Tokens unrecordedShareOf(const TurnRequest &request)
{
    return std::max(request.turnTokens, request.budget / 2);
}

Tokens TokenLedger::boundOfDraws(const TurnRequest &request, const Allowance &allowance)
{
    return request.budget - unrecordedShareOf(request) + (allowance.sawAllTurns ? 0 : request.turnTokens);
}

LedgerAnswer TokenLedger::reserve(const TurnRequest &request, bool mayGrantUnrecordedShare, Time now)
{
    const auto [entry, added] = this->programs.try_emplace(request.program);
    Allowance &allowance = entry->second;
    if (added && mayGrantUnrecordedShare) {
        allowance.left = std::min(unrecordedShareOf(request), request.budget);
        allowance.sawAllTurns = true;
    }
    allowance.usedAt = now;
    if (allowance.left >= request.turnTokens) {
        allowance.left -= request.turnTokens;
        return LedgerAnswer::Granted;
    }
    return this->planDraw(request) ? LedgerAnswer::NeedsBlock : LedgerAnswer::Exhausted;
}

bool TokenLedger::waitsForSettlement(const TurnRequest &request, Tokens unsettled) const
{
    const auto found = this->programs.find(request.program);
    if (found == this->programs.end()) {
        return false;
    }
    const Allowance &allowance = found->second;
    const Tokens coverable = allowance.left + std::max<Tokens>(0, boundOfDraws(request, allowance) - allowance.recorded);
    return coverable < request.turnTokens && coverable + unsettled >= request.turnTokens;
}

std::optional<BlockDraw> TokenLedger::planDraw(const TurnRequest &request) const
{
    const auto found = this->programs.find(request.program);
    const Allowance allowance = found == this->programs.end() ? Allowance() : found->second;
    const Tokens bound = boundOfDraws(request, allowance);
    const Tokens missing = request.turnTokens - allowance.left;
    const Tokens available = bound - allowance.recorded;
    if (available < missing) {
        return std::nullopt;
    }
    // A ledger that counted all turns is the only one that draws, so it draws everything at once. Other ledgers draw a part
    // each, because several may be drawing.
    constexpr Tokens blocksPerShare = 3;
    const Tokens part = allowance.sawAllTurns ? available : bound / blocksPerShare;
    const Tokens block = std::min(available, std::max({missing, request.turnTokens, part}));
    return BlockDraw{allowance.recorded + block, block, allowance.revision};
}

void TokenLedger::onRecorded(const TurnRequest &request, const BlockDraw &draw, std::uint64_t revision, std::uint64_t lease)
{
    Allowance &allowance = this->programs[request.program];
    allowance.left += draw.block;
    allowance.recorded = draw.recorded;
    allowance.revision = revision;
    allowance.lease = lease;
}

void TokenLedger::onRecordMissing(const ProgramId &program)
{
    const auto found = this->programs.find(program);
    if (found != this->programs.end()) {
        found->second.revision = 0;
        found->second.lease = 0;
    }
}

void TokenLedger::onRecordRead(const ProgramId &program, Tokens recorded, std::uint64_t revision, Time now)
{
    Allowance &allowance = this->programs[program];
    if (revision > allowance.revision) {
        allowance.recorded = recorded;
        allowance.revision = revision;
    }
    allowance.usedAt = now;
}

void TokenLedger::credit(const ProgramId &program, Tokens tokens)
{
    const auto found = this->programs.find(program);
    if (found != this->programs.end()) {
        found->second.left += tokens;
    }
}

bool TokenLedger::covers(const ProgramId &program, Tokens tokens) const
{
    const auto found = this->programs.find(program);
    return found != this->programs.end() && found->second.left >= tokens;
}

std::optional<LedgerEntry> TokenLedger::entryOf(const ProgramId &program) const
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end()) {
        return std::nullopt;
    }
    const Allowance &allowance = found->second;
    return LedgerEntry{program, allowance.left, allowance.recorded, allowance.revision, allowance.sawAllTurns};
}

std::vector<LedgerEntry> TokenLedger::take(const std::function<bool(const ProgramId &)> &selected)
{
    std::vector<LedgerEntry> extracted;
    for (auto entry = this->programs.begin(); entry != this->programs.end();) {
        if (!selected(entry->first)) {
            ++entry;
            continue;
        }
        const Allowance &allowance = entry->second;
        extracted.push_back(LedgerEntry{entry->first, allowance.left, allowance.recorded, allowance.revision, allowance.sawAllTurns});
        entry = this->programs.erase(entry);
    }
    return extracted;
}

void TokenLedger::put(const std::vector<LedgerEntry> &entries, Time now)
{
    for (const LedgerEntry &received : entries) {
        Allowance &allowance = this->programs[received.program];
        allowance.left += received.left;
        allowance.sawAllTurns = allowance.sawAllTurns || received.sawAllTurns;
        if (received.revision > allowance.revision) {
            allowance.recorded = received.recorded;
            allowance.revision = received.revision;
        }
        allowance.usedAt = now;
    }
}

void TokenLedger::forgetIdle(Time before)
{
    std::erase_if(this->programs, [before](const auto &entry) {
        return entry.second.usedAt < before;
    });
}

std::set<std::uint64_t> TokenLedger::leases() const
{
    std::set<std::uint64_t> found;
    for (const auto &[program, allowance] : this->programs) {
        if (allowance.lease != 0) {
            found.insert(allowance.lease);
        }
    }
    return found;
}

std::size_t TokenLedger::size() const
{
    return this->programs.size();
}

} // namespace oleandergate
