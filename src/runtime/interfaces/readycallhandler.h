#ifndef OLEANDERGATE_RUNTIME_INTERFACES_READYCALLHANDLER_H
#define OLEANDERGATE_RUNTIME_INTERFACES_READYCALLHANDLER_H

#include "decision/livecall.h"
#include "decision/programstate.h"

#include <set>

namespace oleandergate {

//! Takes calls that their owner allows to be sent.
class ReadyCallHandler
{
public:
    virtual ~ReadyCallHandler() = default;

    //! Queues \p call of a program with \p spec.
    virtual void onReady(const LiveCall &call, const ProgramSpec &spec) = 0;

    //! Takes a call out of the queue or cancels it at its endpoint.
    virtual void onAbort(CallId call) = 0;

    //! Asks \p service what became of a request, and tells ProgramService::onOutcomeFound().
    virtual void onQueryOutcome(const ProgramId &program, const RequestId &requestId, const std::string &service) = 0;

    //! Frees what endpoints hold for a program.
    virtual void onReleaseCache(const ProgramId &program, const std::set<EndpointId> &endpoints) = 0;
};

} // namespace oleandergate

#endif
