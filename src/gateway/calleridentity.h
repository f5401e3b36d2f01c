#ifndef OLEANDERGATE_GATEWAY_CALLERIDENTITY_H
#define OLEANDERGATE_GATEWAY_CALLERIDENTITY_H

#include "decision/nametable.h"
#include "gateway/relayrequest.h"

namespace oleandergate {

//! What is known of a request's caller.
enum class CallerIdentity : std::uint8_t {
    NotAsked, //!< The configuration has no organisations.
    Organisation, //!< It presented an organisation's key.
    Open, //!< It presented none, and its route needs none.
    NoKey,
    UnknownKey
};

//! Names of the identities in metrics.
inline constexpr std::array<NamedValue<CallerIdentity>, 5> callerIdentityNames{{
    {CallerIdentity::NotAsked, "not-asked"},
    {CallerIdentity::Organisation, "organisation"},
    {CallerIdentity::Open, "open"},
    {CallerIdentity::NoKey, "no-key"},
    {CallerIdentity::UnknownKey, "unknown-key"},
}};

//! Finds the organisation of the caller in the request's configuration, and from it and the route the rank of the request.
void identifyCaller(RelayRequest &request);

//! Returns what is known of the caller of \p request, which has a route.
CallerIdentity identityOfCaller(const RelayRequest &request);

//! Returns whether the route of \p request, if it has one, takes only requests with an organisation's key, and this one has none.
bool lacksKey(const RelayRequest &request);

} // namespace oleandergate

#endif
