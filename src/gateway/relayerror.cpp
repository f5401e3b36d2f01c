#include "gateway/relayerror.h"

namespace oleandergate {

namespace {

//! Retry-After of a refusal without a better estimate: about the time that an engine takes for one call.
constexpr Duration defaultRetryAfter = std::chrono::milliseconds(250);

//! Retry-After while this instance shuts down: a new connection reaches another instance, so callers may retry almost at once.
constexpr Duration otherInstanceRetryAfter = std::chrono::milliseconds(20);

} // namespace

Error relayError(ErrorCode code, Step step, Executed executed, std::string detail)
{
    Error out{code, step, {}, executed, std::nullopt, std::move(detail)};
    if (executed == Executed::No && code != ErrorCode::NotFound && code != ErrorCode::BadRequest) {
        out.retryAfter = defaultRetryAfter;
    }
    return out;
}

Error shutdownError()
{
    Error out = relayError(ErrorCode::ServiceUnavailable, Step::Drain, Executed::No, "the instance shuts down before the request could complete");
    out.retryAfter = otherInstanceRetryAfter;
    return out;
}

} // namespace oleandergate
