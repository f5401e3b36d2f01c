#include "gateway/calleridentity.h"

namespace oleandergate {

void identifyCaller(RelayRequest &request)
{
    const bool identifiesCallers = request.active->configuration.identifiesCallers;
    request.organisation = identifiesCallers ? request.active->organisations.findByKeyHash(request.call.keyHash) : nullptr;
    request.call.isIdentified = identifiesCallers;
    request.call.organisation = request.organisation == nullptr ? OrganisationId() : request.organisation->name;
    const int routeRank = request.route == nullptr ? 0 : request.route->rank;
    request.rank = request.organisation == nullptr ? routeRank : request.organisation->rank.value_or(routeRank);
}

CallerIdentity identityOfCaller(const RelayRequest &request)
{
    if (!request.call.isIdentified) {
        return CallerIdentity::NotAsked;
    }
    if (request.organisation != nullptr) {
        return CallerIdentity::Organisation;
    }
    if (request.route->isOpen) {
        return CallerIdentity::Open;
    }
    return request.call.keyHash.empty() ? CallerIdentity::NoKey : CallerIdentity::UnknownKey;
}

bool lacksKey(const RelayRequest &request)
{
    if (request.route == nullptr) {
        return false;
    }
    const CallerIdentity identity = identityOfCaller(request);
    return identity == CallerIdentity::NoKey || identity == CallerIdentity::UnknownKey;
}

} // namespace oleandergate
