#ifndef OLEANDERGATE_GATEWAY_REQUESTDRAIN_H
#define OLEANDERGATE_GATEWAY_REQUESTDRAIN_H

#include "decision/shutdownplan.h"

#include <optional>
#include <set>

namespace oleandergate {

struct RelayRequest;

//! The requests of this instance, and how they end when it shuts down. Used on the thread of the requests only.
class RequestDrain
{
public:
    //! Counts a request as under way.
    class Registration
    {
    public:
        Registration(RequestDrain &drain, RelayRequest &request);
        ~Registration();
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;

    private:
        RequestDrain &drain;
        RelayRequest &request;
    };

    //! Begins the shutdown, or replaces its plan.
    void begin(const ShutdownPlan &newPlan);

    bool hasBegun() const;

    //! Returns whether a request that may take until \p deadline may be sent now, if nearly every call ends within \p expectedMaxCallTime.
    bool admits(Time deadline, Duration expectedMaxCallTime, Time now) const;

    //! Returns whether \p request may be sent now. Always true while the instance does not shut down.
    bool admits(const RelayRequest &request, Time now) const;

    //! Returns the time by which a request has to be answered that may take until \p deadline.
    Time limit(Time deadline) const;

    //! Cancels the requests that are not with an endpoint and could not be sent any more. Their callers learn at once that they did not run.
    void withdrawWaiting(Time now);

    //! Cancels all requests. Their callers get a last answer.
    void cutOff();

private:
    std::optional<ShutdownPlan> plan;
    std::set<RelayRequest *> requests;
};

} // namespace oleandergate

#endif
