#ifndef OLEANDERGATE_RUNTIME_CALLERAPI_H
#define OLEANDERGATE_RUNTIME_CALLERAPI_H

#include "runtime/callrouter.h"
#include "runtime/configservice.h"
#include "runtime/httpexchange.h"

#include <boost/asio/awaitable.hpp>

namespace oleandergate {

class Counter;
class LatencyHistogram;

//! What callers see: OpenAI-compatible chat completions, plain services, and the life cycle of programs.
class CallerApi
{
public:
    CallerApi(CallRouter &router, ConfigService &config, EventLog &events, Metrics &metrics);

    //! Answers one request.
    boost::asio::awaitable<void> handle(HttpRequest request, HttpExchange &exchange);

private:
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
    Result<CallRequest> completeRequest(const Caller &caller, const HttpRequest &http, CallRequest request) const;

    CallRouter &router;
    ConfigService &config;
    EventLog &events;
    Counter &requests;
    LatencyHistogram &callSeconds;
};

} // namespace oleandergate

#endif
