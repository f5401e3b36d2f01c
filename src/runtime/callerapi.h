#ifndef OLEANDERGATE_RUNTIME_CALLERAPI_H
#define OLEANDERGATE_RUNTIME_CALLERAPI_H

#include "runtime/callrouter.h"
#include "runtime/configservice.h"
#include "runtime/httpexchange.h"

#include <boost/asio/awaitable.hpp>

namespace oleandergate {

class Counter;
class LatencyHistogram;

//! HTTP API for callers: OpenAI-compatible chat completions, plain services, and the life cycle of programs.
class CallerApi
{
public:
    CallerApi(CallRouter &router, ConfigService &config, EventLog &events, Metrics &metrics);

    //! Answers one request.
    boost::asio::awaitable<void> handle(HttpRequest request, HttpExchange &exchange);

private:
    //! Organisation that a request's key belongs to, and the configuration that names it.
    struct Caller
    {
        OrganisationConfig organisation{};
        std::shared_ptr<const ActiveConfig> config{};
    };

    Result<Caller> authenticate(const HttpRequest &request) const;
    boost::asio::awaitable<void> createProgram(Caller caller, HttpRequest request, HttpExchange &exchange);
    boost::asio::awaitable<void> handleProgram(Caller caller, HttpRequest request, HttpExchange &exchange);
    boost::asio::awaitable<void> chat(Caller caller, HttpRequest request, HttpExchange &exchange);
    boost::asio::awaitable<void> callService(Caller caller, HttpRequest request, HttpExchange &exchange);
    boost::asio::awaitable<void> stream(CallRequest request, HttpExchange &exchange);
    //! Fills in what the headers of \p http and the caller's key determine. Fails with BadRequest.
    Result<CallRequest> completeRequest(const Caller &caller, const HttpRequest &http, CallRequest request) const;

    CallRouter &router;
    ConfigService &config;
    EventLog &events;
    Counter &requests;
    LatencyHistogram &callSeconds;
};

} // namespace oleandergate

#endif
