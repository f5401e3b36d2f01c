#ifndef OLEANDERGATE_GATEWAY_GATEWAY_H
#define OLEANDERGATE_GATEWAY_GATEWAY_H

#include "gateway/gatewaysettings.h"
#include "gateway/interfaces/headercodec.h"
#include "gateway/interfaces/recordformat.h"

#include <functional>
#include <memory>
#include <optional>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class HttpClient;

//! Makes the client of the key-value service, on the gateway's connections.
using KeyValueFactory = std::function<std::unique_ptr<KeyValueService>(HttpClient &client)>;

//! Reads the process's settings again. Returns nothing when they are faulty.
using SettingsReader = std::function<std::optional<GatewaySettings>()>;

//! An entry instance for callers whose requests are passed on by host and path, as bytes.
class Gateway
{
public:
    Gateway(const GatewaySettings &settings, const HeaderCodec &headerCodec, const RecordFormat &format, const KeyValueFactory &keyValue);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    //! Serves until SIGTERM, then ends gracefully. On SIGHUP takes the seeds and the drain limit from \p readSettings; the
    //! addresses stay those of the start.
    Result<void> run(const SettingsReader &readSettings);

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace oleandergate

#endif
