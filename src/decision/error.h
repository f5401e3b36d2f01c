#ifndef OLEANDERGATE_DECISION_ERROR_H
#define OLEANDERGATE_DECISION_ERROR_H

#include "decision/errorcode.h"
#include "decision/executed.h"
#include "decision/step.h"
#include "decision/time.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>

#include <optional>
#include <string>

namespace oleandergate {

//! Describes a refused or failed operation, with the step and the peer at which it failed.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    Step step = Step::Receive;
    std::string peer{}; //!< Instance, endpoint or service at which it failed; empty for this instance.
    Executed executed = Executed::Unknown; //!< Whether the request may have been executed.
    std::optional<Duration> retryAfter{}; //!< How long the caller should wait before a retry.
    std::string detail{}; //!< Message for callers and operators.
};

//! Holds a value or an Error.
template <typename Value>
using Result = boost::outcome_v2::checked<Value, Error>;

} // namespace oleandergate

#endif
