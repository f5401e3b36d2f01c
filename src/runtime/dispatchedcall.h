#ifndef OLEANDERGATE_RUNTIME_DISPATCHEDCALL_H
#define OLEANDERGATE_RUNTIME_DISPATCHEDCALL_H

#include "decision/livecall.h"
#include "decision/programspec.h"
#include "runtime/cancellation.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace oleandergate {

//! State of a call in the dispatch service, kept over all attempts.
struct DispatchedCall
{
    CallId call = 0;
    CallRequest request{};
    ProgramSpec spec{};
    std::string pool{}; //!< Name of its DispatchPool.
    std::string generated{}; //!< Text of interrupted attempts, which the next attempt continues.
    Tokens generatedTokens = 0;
    Tokens earlierPromptTokens = 0; //!< Prompt tokens billed for interrupted attempts.
    std::atomic<bool> interrupted{false}; //!< The current attempt is cancelled so that the call can be queued again.
    std::mutex mutex{}; //!< Guards \ref cancellation.
    std::shared_ptr<Cancellation> cancellation{}; //!< Cancels the current attempt.
    Time chargedAt{}; //!< When \ref charged was counted.
    Tokens charged = 0; //!< Tokens counted against the limit on tokens per minute (the peak).
};

using DispatchedCallPointer = std::shared_ptr<DispatchedCall>;

} // namespace oleandergate

#endif
