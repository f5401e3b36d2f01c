#ifndef OLEANDERGATE_GATEWAY_GATEWAY_H
#define OLEANDERGATE_GATEWAY_GATEWAY_H

#include "gateway/gatewaysettings.h"
#include "gateway/interfaces/dialect.h"
#include "gateway/interfaces/recordformat.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class HttpClient;

//! Makes the client of the key-value service, on the gateway's connections.
using KeyValueFactory = std::function<std::unique_ptr<KeyValueService>(HttpClient &client)>;

//! An entry instance for callers whose requests are passed on by host and path, as bytes.
class Gateway
{
public:
    Gateway(const GatewaySettings &settings, const Dialect &dialect, const RecordFormat &format, const KeyValueFactory &keyValue);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    //! Serves until SIGTERM, then ends gracefully.
    Result<void> run();

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace oleandergate

#endif
