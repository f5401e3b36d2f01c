#include "runtime/errorresponse.h"

#include "runtime/programdocument.h"

#include <algorithm>

namespace oleandergate {

HttpResponse errorResponse(const Error &error)
{
    HttpResponse response;
    response.status = httpStatusOf(error);
    response.body = describeError(error);
    if (error.retryAfter) {
        const auto seconds = std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(*error.retryAfter).count());
        response.headers.push_back(HttpHeader{"Retry-After", std::to_string(seconds)});
    }
    return response;
}

HttpResponse unreadableRequestResponse(int status, const std::string &detail)
{
    constexpr int tooLarge = 413;
    constexpr int headerTooLarge = 431;
    constexpr int timedOut = 408;
    constexpr int serverError = 500;
    constexpr int serviceUnavailable = 503;
    constexpr Duration unavailableRetryAfter = std::chrono::seconds(1);
    ErrorCode code = ErrorCode::BadRequest;
    if (status == tooLarge || status == headerTooLarge) {
        code = ErrorCode::TooLarge;
    } else if (status == timedOut) {
        code = ErrorCode::Timeout;
    } else if (status == serverError) {
        code = ErrorCode::Internal;
    } else if (status == serviceUnavailable) {
        code = ErrorCode::ServiceUnavailable;
    }
    Error error{code, Step::Receive, {}, status == serverError ? Executed::Unknown : Executed::No, std::nullopt, detail};
    if (status == serviceUnavailable) {
        error.retryAfter = unavailableRetryAfter;
    }
    HttpResponse response = errorResponse(error);
    response.status = status;
    return response;
}

} // namespace oleandergate
