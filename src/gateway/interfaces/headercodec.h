#ifndef OLEANDERGATE_GATEWAY_INTERFACES_HEADERCODEC_H
#define OLEANDERGATE_GATEWAY_INTERFACES_HEADERCODEC_H

#include "decision/error.h"
#include "gateway/relaycall.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace oleandergate {

//! Translates between calls and the HTTP header fields of a deployment.
class HeaderCodec
{
public:
    virtual ~HeaderCodec() = default;

    //! Parses a caller's request. Fails with BadRequest.
    virtual Result<RelayCall> decode(HttpRequest request) const = 0;

    //! Returns the header fields of the request to an endpoint.
    virtual std::vector<HttpHeader> encode(const RelayCall &call, const ForwardingOptions &options) const = 0;

    //! Returns what the header fields of \p answer state about its origin.
    virtual AnswerMetadata readAnswerMetadata(const HttpResponse &answer) const = 0;

    //! Returns the version of the weights that \p event, the text of an event of a stream, states to begin with it; nothing if it states none.
    virtual std::optional<std::int64_t> readEventWeights(std::string_view event) const = 0;

    //! Returns the header field that tells a caller how to present a key.
    virtual HttpHeader challenge() const = 0;

    //! Returns the header field that tells a caller to retry after \p wait.
    virtual HttpHeader retryAfter(Duration wait) const = 0;
};

} // namespace oleandergate

#endif
