#ifndef OLEANDERGATE_GATEWAY_INTERFACES_RECORDFORMAT_H
#define OLEANDERGATE_GATEWAY_INTERFACES_RECORDFORMAT_H

#include "backing/interfaces/keyvalueservice.h"
#include "decision/endpointcatalog.h"
#include "gateway/gatewayconfiguration.h"

namespace oleandergate {

//! Keys and text formats of a deployment's configuration and endpoints in the key-value service.
class RecordFormat
{
public:
    virtual ~RecordFormat() = default;

    //! Returns the key of the configuration record. It also serves as the prefix that is read and watched.
    virtual std::string configurationKey() const = 0;

    //! Returns the configuration \p text, which can be parsed, with hashes in place of the organisations' keys.
    virtual std::string withoutKeys(const std::string &text) const = 0;

    //! Returns the prefix of the keys under which endpoints register.
    virtual std::string endpointPrefix() const = 0;

    //! Parses a configuration. Fails with InvalidConfiguration; the error names the field.
    virtual Result<GatewayConfiguration> readConfiguration(const std::string &text) const = 0;

    //! Returns the identifier of the endpoint whose registration has the key \p key.
    virtual EndpointId endpointId(const std::string &key) const = 0;

    //! Parses a registration. Fails when a required field is missing or invalid.
    virtual Result<EndpointEntry> readEndpoint(const KvPair &pair) const = 0;
};

} // namespace oleandergate

#endif
