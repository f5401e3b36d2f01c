#ifndef OLEANDERGATE_RUNTIME_ADMINAPI_H
#define OLEANDERGATE_RUNTIME_ADMINAPI_H

#include "runtime/callrouter.h"
#include "runtime/configservice.h"
#include "runtime/httpexchange.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace oleandergate {

class DispatchService;

//! What operators see: configuration, status, programs and draining. Their keys are apart from callers' keys.
class AdminApi
{
public:
    struct Parts
    {
        CallRouter &router;
        ConfigService &config;
        ClusterView &view;
        DispatchService &dispatch;
        ProgramService &programs;
        PeerClient &peers;
        Metrics &metrics;
    };

    //! \p bootstrapKeyHash admits one operator while no configuration is in force; \p drain starts a graceful stop.
    AdminApi(const Parts &parts, std::string bootstrapKeyHash, std::function<void()> drain, std::function<bool()> ready);

    boost::asio::awaitable<void> handle(HttpRequest request, HttpExchange &exchange);

private:
    std::optional<std::string> authenticate(const HttpRequest &request) const;
    boost::asio::awaitable<HttpResponse> answer(HttpRequest request, std::string author);
    boost::asio::awaitable<HttpResponse> applyConfig(HttpRequest request, std::string author);
    boost::asio::awaitable<HttpResponse> configHistory();
    boost::asio::awaitable<HttpResponse> listPrograms(bool ownOnly);
    boost::asio::awaitable<HttpResponse> program(HttpRequest request);
    HttpResponse showConfig() const;
    HttpResponse validateConfig(const HttpRequest &request) const;
    HttpResponse status() const;

    Parts parts;
    std::string bootstrapKeyHash;
    std::function<void()> drain;
    std::function<bool()> ready;
};

} // namespace oleandergate

#endif
