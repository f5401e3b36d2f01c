#ifndef OLEANDERGATE_GATEWAY_ACTIVEGATEWAYCONFIGURATION_H
#define OLEANDERGATE_GATEWAY_ACTIVEGATEWAYCONFIGURATION_H

#include "decision/organisationtable.h"
#include "decision/routetable.h"
#include "decision/routetargetledger.h"
#include "gateway/gatewayconfiguration.h"

#include <map>

namespace oleandergate {

//! A configuration, indexed for the handling of requests.
struct ActiveGatewayConfiguration
{
    explicit ActiveGatewayConfiguration(GatewayConfiguration given)
        : configuration(std::move(given))
        , routes(configuration.routes)
        , organisations(configuration.organisations)
        , targets{configuration.version, streamTargets(configuration.routes)}
    {
        for (const GatewayService &service : this->configuration.services) {
            this->services[service.name] = service;
        }
    }

    GatewayConfiguration configuration;
    RouteTable routes;
    OrganisationTable organisations;
    VersionedTargets targets;
    std::map<std::string, GatewayService> services{};
};

} // namespace oleandergate

#endif
