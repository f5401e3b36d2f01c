#include "decision/streamhabits.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! What was seen of a version counts until no stream of it has been seen for this long.
constexpr Duration habitTimeout = std::chrono::minutes(10);

//! A whole stream without framing shows for this long that its version writes such streams, and a cut that its endpoint cuts streams.
constexpr Duration occurrenceTimeout = std::chrono::minutes(1);

//! Unframed ends of a version that have to be proved before a single run may confirm one, and the runs that are needed until then.
constexpr std::uint32_t minProvedEnds = 8;
constexpr std::uint32_t cautiousConfirmations = 2;

//! The same where a version frames some of its streams: the next answer is likely to be framed and to tell.
constexpr std::uint32_t mixedConfirmations = 3;

} // namespace

StreamHabits::Habit &StreamHabits::habitOf(const ServiceVersion &group, Time now)
{
    std::erase_if(this->habits, [now](const auto &entry) {
        return now - entry.second.seenAt > habitTimeout;
    });
    Habit &habit = this->habits[group];
    habit.seenAt = now;
    return habit;
}

const StreamHabits::Habit *StreamHabits::find(const ServiceVersion &group, Time now) const
{
    const auto found = this->habits.find(group);
    return found == this->habits.end() || now - found->second.seenAt > habitTimeout ? nullptr : &found->second;
}

void StreamHabits::add(const ServiceVersion &group, const RunObservation &run, Time now)
{
    Habit &habit = this->habitOf(group, now);
    // An answer without an event may be framed though the version's streams are not.
    // Nor do the unframed ends of an endpoint that cuts streams show how the version ends its own.
    if (run.events > 0 && (run.framed || !this->hasCut(run.endpoint, now))) {
        habit.framed.add(run.framed);
    }
    if (!run.framed && (run.events > 0 || run.proved)) {
        habit.unframedAt[run.endpoint] = now;
    }
    for (const EndpointId &endpoint : run.agreedAt) {
        habit.unframedAt[endpoint] = now;
    }
    for (std::map<EndpointId, Time> *seen : {&habit.unframedAt, &habit.wholeUnframedAt}) {
        std::erase_if(*seen, [now](const auto &entry) {
            return now - entry.second > habitTimeout;
        });
    }
    std::erase_if(habit.tails, [now](const auto &entry) {
        return now - entry.second.seenAt > habitTimeout;
    });
    if (run.tail) {
        habit.tails[run.endpoint] = Tail{*run.tail, now};
    }
    if (run.proved && !run.framed && run.events == 0) {
        habit.provedEnds += 1;
    }
    if (!run.provedEndAt.empty()) {
        habit.wholeUnframedAt[run.provedEndAt] = now;
        this->cutAt.erase(run.provedEndAt);
    }
    if (run.risesByOne) {
        habit.risesByOne.add(*run.risesByOne);
    }
}

void StreamHabits::addCut(const EndpointId &endpoint, Time now)
{
    std::erase_if(this->cutAt, [now](const auto &entry) {
        return now - entry.second > occurrenceTimeout;
    });
    this->cutAt[endpoint] = now;
    for (auto &[group, habit] : this->habits) {
        const bool isOfGroup = habit.unframedAt.erase(endpoint) > 0 || habit.wholeUnframedAt.contains(endpoint);
        habit.provedEnds = isOfGroup ? 0 : habit.provedEnds;
    }
}

void StreamHabits::addShortLength(const EndpointId &endpoint, Time now)
{
    std::erase_if(this->shortLengthAt, [now](const auto &entry) {
        return now - entry.second > occurrenceTimeout;
    });
    this->shortLengthAt[endpoint] = now;
}

bool StreamHabits::isLengthDoubtful(const EndpointId &endpoint, Time now) const
{
    const auto found = this->shortLengthAt.find(endpoint);
    return found != this->shortLengthAt.end() && now - found->second <= occurrenceTimeout;
}

bool StreamHabits::isUnframedDoubtful(const ServiceVersion &group, const EndpointId &endpoint, Time now) const
{
    if (this->hasCut(endpoint, now)) {
        return true;
    }
    const Habit *habit = this->find(group, now);
    if (habit == nullptr || !habit->framed.hasAny()) {
        return false;
    }
    const auto whole = habit->wholeUnframedAt.find(endpoint);
    return whole == habit->wholeUnframedAt.end() || now - whole->second > occurrenceTimeout;
}

bool StreamHabits::isUnframedUsual(const ServiceVersion &group, const EndpointId &endpoint, bool isOnlyEndpoint, Time now) const
{
    if (this->isUnframedDoubtful(group, endpoint, now)) {
        return false;
    }
    return isOnlyEndpoint || this->hasOtherUnframed(group, endpoint, now);
}

std::uint32_t StreamHabits::confirmationsNeeded(const ServiceVersion &group, Time now) const
{
    const Habit *habit = this->find(group, now);
    if (habit != nullptr && habit->framed.hasAny()) {
        return mixedConfirmations;
    }
    return habit != nullptr && habit->provedEnds >= minProvedEnds ? 1 : cautiousConfirmations;
}

bool StreamHabits::hasOtherUnframed(const ServiceVersion &group, const EndpointId &endpoint, Time now) const
{
    const Habit *habit = this->find(group, now);
    return habit != nullptr && this->hasOther(habit->unframedAt, endpoint, now);
}

bool StreamHabits::hasCut(const EndpointId &endpoint, Time now) const
{
    const auto cut = this->cutAt.find(endpoint);
    return cut != this->cutAt.end() && now - cut->second <= occurrenceTimeout;
}

bool StreamHabits::hasOther(const std::map<EndpointId, Time> &seen, const EndpointId &endpoint, Time now) const
{
    return std::ranges::any_of(seen, [this, &endpoint, now](const auto &entry) {
        return entry.first != endpoint && now - entry.second <= habitTimeout && !this->hasCut(entry.first, now);
    });
}

std::string StreamHabits::usualTail(const ServiceVersion &group, Time now) const
{
    const Habit *habit = this->find(group, now);
    if (habit == nullptr || habit->tails.empty()) {
        return {};
    }
    const std::string &first = habit->tails.begin()->second.text;
    const bool isUsual = std::ranges::all_of(habit->tails, [&first, now](const auto &entry) {
        return entry.second.text == first && now - entry.second.seenAt <= habitTimeout;
    });
    return isUsual ? first : std::string();
}

bool StreamHabits::numbersRiseByOne(const ServiceVersion &group, Time now) const
{
    const Habit *habit = this->find(group, now);
    return habit != nullptr && habit->risesByOne.areAll();
}

bool StreamHabits::numbersAreUneven(const ServiceVersion &group, Time now) const
{
    const Habit *habit = this->find(group, now);
    return habit != nullptr && habit->risesByOne.hasNo();
}

} // namespace oleandergate
