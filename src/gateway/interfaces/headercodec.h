#ifndef OLEANDERGATE_GATEWAY_INTERFACES_HEADERCODEC_H
#define OLEANDERGATE_GATEWAY_INTERFACES_HEADERCODEC_H

#include "decision/error.h"
#include "gateway/relaycall.h"

namespace oleandergate {

//! How a deployment spells requests and answers in HTTP header fields.
class HeaderCodec
{
public:
    virtual ~HeaderCodec() = default;

    //! Reads a caller's request. Fails with BadRequest.
    virtual Result<RelayCall> decode(HttpRequest request) const = 0;

    //! Returns the header fields for an endpoint.
    virtual std::vector<HttpHeader> encode(const RelayCall &call, const ForwardingOptions &options) const = 0;

    virtual AnswerMetadata readAnswerMetadata(const HttpResponse &answer) const = 0;

    //! Returns the field that tells a caller when to come back.
    virtual HttpHeader retryAfter(Duration wait) const = 0;
};

} // namespace oleandergate

#endif
