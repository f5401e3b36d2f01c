#ifndef OLEANDERGATE_RUNTIME_INTERFACES_READYCALLHANDLER_H
#define OLEANDERGATE_RUNTIME_INTERFACES_READYCALLHANDLER_H

#include "decision/livecall.h"
#include "decision/programstate.h"

#include <set>

namespace oleandergate {

//! Receives calls that are ready to be sent, and related actions, from the program service.
class ReadyCallHandler
{
public:
    virtual ~ReadyCallHandler() = default;

    //! Queues \p call, which belongs to a program with \p spec.
    virtual void onReady(const LiveCall &call, const ProgramSpec &spec) = 0;

    //! Removes a call from the queue, or cancels it at its endpoint if it was already sent.
    virtual void onAbort(CallId call) = 0;

    //! Queries \p service for the outcome of a request and passes the result to ProgramService::onOutcomeFound().
    virtual void onQueryOutcome(const ProgramId &program, const RequestId &requestId, const std::string &service) = 0;

    //! Tells \p endpoints to release what they cache for \p program.
    virtual void onReleaseCache(const ProgramId &program, const std::set<EndpointId> &endpoints) = 0;
};

} // namespace oleandergate

#endif
