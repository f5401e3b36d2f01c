#ifndef OLEANDERGATE_GATEWAY_RELAYREQUEST_H
#define OLEANDERGATE_GATEWAY_RELAYREQUEST_H

#include "decision/placement.h"
#include "gateway/activegatewayconfiguration.h"
#include "gateway/endpointsend.h"
#include "gateway/relaycall.h"
#include "gateway/servicepool.h"
#include "gateway/streamversions.h"
#include "runtime/cancellation.h"
#include "runtime/httpexchange.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace oleandergate {

//! State of one caller's request while the relay handles it.
struct RelayRequest
{
    RelayRequest(HttpExchange &given, MemoryBudget &memory, Time now)
        : exchange(given)
        , held(&memory, HeldFor::Answer)
        , arrived(now)
    {
    }

    HttpExchange &exchange;
    HeldMemory held; //!< What is held of the latest answer.
    Time arrived;
    Time deadline{};
    RelayCall call{};
    RequestIdentity identity{};
    std::shared_ptr<const ActiveGatewayConfiguration> active{};
    const Route *route = nullptr;
    const Organisation *organisation = nullptr; //!< Of the caller; nullptr if it is not known or the configuration has none.
    int rank = 0; //!< Urgency; 0 is the most urgent.
    const GatewayService *service = nullptr;
    std::shared_ptr<ServicePool> pool{};
    std::shared_ptr<Cancellation> cancellation = std::make_shared<Cancellation>();
    StreamProgress progress{};
    std::optional<StreamIdentity> stream{}; //!< Set if the answer is a stream that may be resumed.
    std::optional<std::string> streamVersion{}; //!< The only software version at which the stream may go on; any as long as it has not begun.
    std::set<EndpointId> misdirectedAt{}; //!< Endpoints where the stream cannot go on, as they have other weights or are gone.
    std::set<EndpointId> unnamedAnswersAt{}; //!< Endpoints to which the request is sent on new connections, as others may bring answers to earlier requests.
    std::optional<RetryPlan> retries{};
    std::optional<HttpResponse> answer{};
    bool reserved = false; //!< Tokens of the program's budget are reserved and not settled.
    bool streamed = false;
    bool endedWithConnection = false; //!< The latest answer had neither a length nor chunks.
    std::size_t unfinishedBytes = 0; //!< Bytes behind the last whole event of the latest answer.
    StreamRun run{}; //!< The latest one.
    std::optional<Error> lastError{};
    std::optional<Placement> placement{}; //!< The latest one.
    ConnectionPath path{}; //!< Way of the latest send to its endpoint.
    bool atEndpoint = false; //!< A send is under way.
    std::uint32_t sends = 0;
    std::uint32_t declined = 0; //!< Placements that the rate limit of their endpoint left no room for.
    bool usesAllowance = false; //!< It was taken from the allowance of its organisation.
    Duration allowanceWait{}; //!< Spent until the allowance covered it.
    Duration permitWait{}; //!< Spent on requests for permits.
    Duration waited{};
    int status = 0;
    std::string outcome{};
};

} // namespace oleandergate

#endif
