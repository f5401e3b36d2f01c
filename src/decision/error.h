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

//! A refusal or failure, with the step and the peer at which it arose.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    Step step = Step::Receive;
    std::string peer{}; //!< Instance, endpoint or service; empty for this instance itself.
    Executed executed = Executed::Unknown;
    std::optional<Duration> retryAfter{}; //!< When coming back makes sense.
    std::string detail{};
};

//! A value or an Error.
template <typename Value>
using Result = boost::outcome_v2::checked<Value, Error>;

} // namespace oleandergate

#endif
