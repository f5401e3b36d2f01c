#ifndef OLEANDERGATE_GATEWAY_INTERFACES_RECORDFORMAT_H
#define OLEANDERGATE_GATEWAY_INTERFACES_RECORDFORMAT_H

#include "backing/interfaces/keyvalueservice.h"
#include "decision/endpointcatalog.h"
#include "gateway/gatewayconfiguration.h"

namespace oleandergate {

//! How a deployment stores its configuration and its endpoints in the key-value service.
class RecordFormat
{
public:
    virtual ~RecordFormat() = default;

    //! Prefix that holds the configuration's record.
    virtual std::string configurationKey() const = 0;

    //! Prefix of the endpoints' announcements.
    virtual std::string endpointPrefix() const = 0;

    //! Reads a configuration. Fails with InvalidConfiguration, naming the field.
    virtual Result<GatewayConfiguration> readConfiguration(const std::string &text) const = 0;

    //! Returns the endpoint's identifier in an announcement's key.
    virtual EndpointId endpointId(const std::string &key) const = 0;

    //! Reads an announcement. Fails when it names no endpoint to use.
    virtual Result<EndpointEntry> readEndpoint(const KvPair &pair) const = 0;
};

} // namespace oleandergate

#endif
