#ifndef OLEANDERGATE_GATEWAY_ENDPOINTSEND_H
#define OLEANDERGATE_GATEWAY_ENDPOINTSEND_H

#include "decision/endpointspec.h"
#include "decision/retryplan.h"
#include "gateway/eventsplitter.h"
#include "gateway/interfaces/dialect.h"
#include "runtime/httpclient.h"
#include "runtime/httpexchange.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace oleandergate {

class Cancellation;

//! What the caller of a stream has received so far, over all sends.
struct StreamProgress
{
    bool headSent = false;
    bool callerGone = false;
    std::uint64_t events = 0; //!< Whole events handed to the caller.
    std::optional<std::uint64_t> lastEvent{}; //!< Number of the last of them.
};

//! How one send ended, with the answer where there is one.
struct SendResult
{
    SendReport report{};
    std::optional<HttpResponse> answer{}; //!< A whole answer that was not passed on as a stream.
    bool streamed = false; //!< The stream was passed on to its end.
    std::string detail{};
};

//! Sends one request to one endpoint and passes a stream's events on as they arrive.
class EndpointSend
{
public:
    struct Parts
    {
        HttpClient &client;
        const Dialect &dialect;
        HttpExchange &exchange;
        StreamProgress &progress;
        std::function<void(std::uint64_t events)> onEvents{}; //!< More events were passed on.
    };

    EndpointSend(const Parts &parts, const RelayCall &call, RouteKind kind, std::shared_ptr<Cancellation> cancellation);

    //! Sends the call to \p endpoint; the answer has to be complete by \p deadline.
    boost::asio::awaitable<SendResult> run(EndpointSpec endpoint, int urgency, Time deadline, Time now);

private:
    HttpCall makeCall(const EndpointSpec &endpoint, int urgency, Time deadline, Time now) const;
    boost::asio::awaitable<bool> passOn(const HttpResponse &head, std::string piece);
    boost::asio::awaitable<bool> deliver(std::string events);
    SendOutcome judge(const HttpResponse &answer, std::string &detail) const;
    SendResult fromFailure(const EndpointSpec &endpoint, const HttpFailure &failure, Time deadline, Time now) const;

    Parts parts;
    const RelayCall &call;
    RouteKind kind;
    std::shared_ptr<Cancellation> cancellation;
    EventSplitter splitter;
    std::string collected;
    bool streaming = false;
};

} // namespace oleandergate

#endif
