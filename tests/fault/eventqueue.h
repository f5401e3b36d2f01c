#ifndef OLEANDERGATE_FAULT_EVENTQUEUE_H
#define OLEANDERGATE_FAULT_EVENTQUEUE_H

#include "decision/time.h"

#include <algorithm>
#include <functional>
#include <map>

namespace oleandergate::fault {

//! Runs actions in order of virtual time; actions of the same time run in the order in which they were added.
class EventQueue
{
public:
    //! Schedules \p action for \p at, or for now() if that has passed.
    void add(Time at, std::function<void()> action)
    {
        this->events.emplace(std::max(at, this->current), std::move(action));
    }

    //! Runs all actions that are due up to and including \p end, then sets the time to \p end.
    void runUntil(Time end)
    {
        while (!this->events.empty() && this->events.begin()->first <= end) {
            auto event = this->events.extract(this->events.begin());
            this->current = event.key();
            event.mapped()();
        }
        this->current = end;
    }

    Time now() const
    {
        return this->current;
    }

private:
    static constexpr auto startTime = std::chrono::hours(24 * 365 * 30); //!< Start of virtual time: 30 years.

    Time current{startTime};
    std::multimap<Time, std::function<void()>> events;
};

} // namespace oleandergate::fault

#endif
