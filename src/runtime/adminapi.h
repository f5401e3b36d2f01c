#ifndef OLEANDERGATE_RUNTIME_ADMINAPI_H
#define OLEANDERGATE_RUNTIME_ADMINAPI_H

#include "runtime/callrouter.h"
#include "runtime/configservice.h"
#include "runtime/httpexchange.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace oleandergate {

class ConnectionBudget;
class DispatchService;
class MemoryBudget;

//! HTTP API for operators: configuration, status, programs and draining. Operators' keys are separate from callers' keys.
class AdminApi
{
public:
    struct Dependencies
    {
        CallRouter &router;
        ConfigService &config;
        ClusterView &view;
        DispatchService &dispatch;
        ProgramService &programs;
        PeerClient &peers;
        Metrics &metrics;
        MemoryBudget &memory;
        ConnectionBudget &connections;
    };

    //! \p bootstrapKeyHash is the SHA-256, in hexadecimal digits, of the only key that is accepted while no configuration is active.
    //! \p drain starts a graceful stop; \p ready returns true while the instance serves callers.
    AdminApi(const Dependencies &dependencies, std::string bootstrapKeyHash, std::function<void()> drain, std::function<bool()> ready);

    //! Answers one request. The paths /healthz, /readyz and /metrics need no key.
    boost::asio::awaitable<void> handle(HttpRequest request, HttpExchange &exchange);

private:
    //! Returns the operator's name, or nothing when the request has no known key.
    std::optional<std::string> authenticate(const HttpRequest &request) const;
    boost::asio::awaitable<HttpResponse> handleAuthenticated(HttpRequest request, std::string author);
    boost::asio::awaitable<HttpResponse> applyConfig(HttpRequest request, std::string author);
    boost::asio::awaitable<HttpResponse> configHistory();
    boost::asio::awaitable<HttpResponse> listPrograms(bool ownOnly);
    boost::asio::awaitable<HttpResponse> handleProgram(HttpRequest request);
    HttpResponse showConfig() const;
    HttpResponse validateConfig(const HttpRequest &request) const;
    HttpResponse status() const;

    Dependencies dependencies;
    std::string bootstrapKeyHash;
    std::function<void()> drain;
    std::function<bool()> ready;
};

} // namespace oleandergate

#endif
