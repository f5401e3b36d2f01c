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

//! What the dispatch side keeps of a call between its attempts.
struct DispatchedCall
{
    CallId call = 0;
    CallRequest request{};
    ProgramSpec spec{};
    std::string pool{};
    std::string generated{}; //!< Text of interrupted attempts, which the next attempt continues.
    Tokens generatedTokens = 0;
    Tokens earlierPromptTokens = 0; //!< Billed for interrupted attempts.
    std::atomic<bool> interrupted{false};
    std::mutex mutex{}; //!< Guards \ref cancellation.
    std::shared_ptr<Cancellation> cancellation{};
    Time chargedAt{};
    Tokens charged = 0; //!< Tokens counted against the minute's peak.
};

using DispatchedCallPointer = std::shared_ptr<DispatchedCall>;

} // namespace oleandergate

#endif
