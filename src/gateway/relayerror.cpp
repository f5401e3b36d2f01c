#include "gateway/relayerror.h"

#include "runtime/errorresponse.h"

namespace oleandergate {

namespace {

//! Retry-After of a refusal without a better estimate: about the time that an engine takes for one call.
constexpr Duration defaultRetryAfter = std::chrono::milliseconds(250);

//! Retry-After while this instance shuts down or is full: a new connection reaches another instance, so callers may retry almost at once.
constexpr Duration otherInstanceRetryAfter = std::chrono::milliseconds(20);

} // namespace

Error relayError(ErrorCode code, Step step, Executed executed, std::string detail)
{
    Error out{code, step, {}, executed, std::nullopt, std::move(detail)};
    if (executed == Executed::No && code != ErrorCode::NotFound && code != ErrorCode::BadRequest && code != ErrorCode::Unauthorised) {
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

Error unreadError(std::string detail)
{
    Error out = relayError(ErrorCode::ServiceUnavailable, Step::Receive, Executed::No, std::move(detail));
    out.retryAfter = otherInstanceRetryAfter;
    return out;
}

HttpResponse refusalResponse(const Error &error, const HeaderCodec &headerCodec)
{
    HttpResponse response = errorResponse(error);
    std::erase_if(response.headers, [](const HttpHeader &header) {
        return header.name == "Retry-After";
    });
    if (error.executed == Executed::No && error.retryAfter) {
        response.headers.push_back(headerCodec.retryAfter(*error.retryAfter));
    }
    if (error.code == ErrorCode::Unauthorised) {
        response.headers.push_back(headerCodec.challenge());
    }
    return response;
}

} // namespace oleandergate
