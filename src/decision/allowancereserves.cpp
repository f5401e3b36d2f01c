#include "decision/allowancereserves.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleandergate {

namespace {

//! Over which the rate of arriving calls is taken.
constexpr Duration demandMemory = std::chrono::seconds(1);

//! How long a denial holds for further calls at most, as room is given back and issuers change meanwhile.
constexpr Duration maxDenial = std::chrono::milliseconds(100);
constexpr Duration maxBeginningDenial = std::chrono::milliseconds(250);

//! How long calls that were given back may be used.
constexpr Duration givenBackLifetime = std::chrono::milliseconds(250);

//! State of programs and organisations without a call is kept for this long.
constexpr Duration idleTime = std::chrono::seconds(30);

} // namespace

AllowanceReserves::AllowanceReserves(std::uint32_t self)
    : self(self)
{
}

void AllowanceReserves::onArrival(const AllowanceCall &call, Time now)
{
    State &state = this->states[call.organisation];
    const double memory = toSeconds(demandMemory);
    state.callsPerSecond = state.callsPerSecond * std::exp(-toSeconds(now - state.arrivedAt) / memory) + 1.0 / memory;
    state.arrivedAt = now;
}

AllowanceReserves::Verdict AllowanceReserves::decide(const AllowanceCall &call, Time now)
{
    Verdict verdict;
    if (call.allowance.callsPerSecond <= 0.0) {
        verdict.step = AllowanceStep::LetThrough;
        return verdict;
    }
    State &state = this->states[call.organisation];
    const auto open = this->openPrograms.find(call.program);
    verdict.begins = call.program != 0 && open == this->openPrograms.end();
    if (open != this->openPrograms.end()) {
        open->second = now;
    }
    const bool hasReserve = state.reserve > 0 && now < state.reserveUntil;
    if (hasReserve && !verdict.begins) {
        state.reserve -= 1;
        state.used += 1;
        verdict.step = AllowanceStep::LetThrough;
        return verdict;
    }
    const Time deniedUntil = verdict.begins ? std::max(state.beginningDeniedUntil, state.deniedUntil) : state.deniedUntil;
    if (now < deniedUntil) {
        verdict.step = AllowanceStep::Wait;
        verdict.bound = now < state.deniedUntil ? AllowanceBound::Rate : AllowanceBound::OpenPrograms;
        verdict.wait = deniedUntil - now;
        return verdict;
    }
    verdict.request.call = call;
    verdict.request.call.program = verdict.begins ? call.program : 0;
    verdict.request.instance = this->self;
    verdict.request.used = std::exchange(state.used, 0);
    verdict.request.reserve = hasReserve ? state.reserve : 0;
    verdict.request.callsPerSecond = state.callsPerSecond;
    return verdict;
}

void AllowanceReserves::onDecision(const AllowanceCall &call, const AllowanceDecision &decision, Time now)
{
    State &state = this->states[call.organisation];
    if (!decision.granted) {
        const bool beginningOnly = decision.bound == AllowanceBound::OpenPrograms;
        Time &until = beginningOnly ? state.beginningDeniedUntil : state.deniedUntil;
        until = now + std::min(decision.retryAfter, beginningOnly ? maxBeginningDenial : maxDenial);
        return;
    }
    if (call.program != 0) {
        this->openPrograms[call.program] = now;
    }
    if (decision.reserve > 0) {
        state.reserve = (now < state.reserveUntil ? state.reserve : 0) + decision.reserve;
        state.reserveUntil = now + decision.lifetime;
    }
}

bool AllowanceReserves::takeSpare(std::uint64_t organisation, Time now)
{
    const auto found = this->states.find(organisation);
    if (found == this->states.end() || found->second.reserve < 2 || now >= found->second.reserveUntil) {
        return false;
    }
    found->second.reserve -= 1;
    found->second.used += 1;
    return true;
}

void AllowanceReserves::giveBack(std::uint64_t organisation, Time now)
{
    State &state = this->states[organisation];
    state.reserve = (now < state.reserveUntil ? state.reserve : 0) + 1;
    state.reserveUntil = std::max(state.reserveUntil, now + givenBackLifetime);
}

void AllowanceReserves::expire(Time now)
{
    std::erase_if(this->states, [now](const auto &entry) {
        return now - entry.second.arrivedAt > idleTime;
    });
    std::erase_if(this->openPrograms, [now](const auto &entry) {
        return now - entry.second > idleTime;
    });
}

} // namespace oleandergate
