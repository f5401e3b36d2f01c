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
class MemoryBudget;

//! Creates the client of the key-value service, which sends its requests through \p client and counts what it reads in \p memory.
using KeyValueFactory = std::function<std::unique_ptr<KeyValueService>(HttpClient &client, MemoryBudget &memory)>;

//! Reads the settings of the process again. Returns nothing when they are invalid.
using SettingsReader = std::function<std::optional<GatewaySettings>()>;

//! An instance that routes callers' requests to endpoints by host and path and forwards their bodies unchanged.
class Gateway
{
public:
    Gateway(const GatewaySettings &settings, const HeaderCodec &headerCodec, const RecordFormat &format, const KeyValueFactory &keyValue);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    //! Serves until SIGTERM, then shuts down gracefully. Fails when it cannot start. On SIGHUP it takes the seeds and the drain
    //! limit from \p readSettings; the addresses do not change.
    Result<void> run(const SettingsReader &readSettings);

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace oleandergate

#endif
