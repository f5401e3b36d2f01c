#ifndef OLEANDERGATE_GATEWAY_ALLOWANCES_H
#define OLEANDERGATE_GATEWAY_ALLOWANCES_H

#include "decision/allowanceissuer.h"
#include "decision/allowancereserves.h"
#include "decision/error.h"
#include "decision/permitissuer.h"
#include "decision/permitmembers.h"
#include "gateway/relayrequest.h"
#include "wire/peermessage.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <mutex>
#include <string>

namespace oleandergate {

class Counter;
class GatewayConfigurationHolder;
class LatencyHistogram;
class Metrics;
class PeerClient;

//! Holds the callers of each organisation to its allowance, through all instances together. Thread-safe.
//!
//! A call is let through by this instance's reserve, or by the one instance that issues the organisation's allowance. While that one does not answer,
//! this instance uses its own part of the allowance.
class Allowances
{
public:
    Allowances(PeerClient &peers,
               Metrics &metrics,
               const GatewayConfigurationHolder &configurationHolder,
               const InstanceRecord &self,
               const AllowanceTolerance &tolerance);

    //! Takes one call from the allowance of the caller's organisation. A call of a program under way may wait for it, one that begins a program is denied at
    //! once. Fails with AllowanceExhausted.
    boost::asio::awaitable<Result<void>> admit(RelayRequest &request);

    //! Takes a further call for a request that was admitted, if the allowance is far from used up.
    bool takeSpare(const RelayRequest &request, Time now);

    //! Gives back what was taken for a request that was not sent to an endpoint.
    void giveBack(const RelayRequest &request, Time now);

    //! Answers a peer's AllowanceQuery; returns nothing for other messages.
    std::optional<PeerMessage> serve(const PeerMessage &message, Time now);

    //! Sets the other live instances.
    void onMembers(const std::vector<InstanceRecord> &live, Time now);

    //! To be called several times a second.
    void expire(Time now);

    //! Returns the organisations that sent most since the last call of this function, for the log: "name=calls/denied ...". Empty if none sent anything.
    std::string takeBusiest();

private:
    //! What an organisation's callers sent.
    struct Usage
    {
        std::uint64_t calls = 0;
        std::uint64_t denied = 0;
    };

    boost::asio::awaitable<AllowanceDecision> ask(AllowanceRequest request, OrganisationId organisation);

    //! Decides as the issuer, by the newest allowance that is known here.
    AllowanceDecision issue(AllowanceRequest request, Time now);

    //! Decides without the issuer, by a part of the allowance that leaves room for what it may issue to others.
    AllowanceDecision decideAlone(const AllowanceRequest &request, Time now);
    void count(const AllowanceDecision &decision);

    PeerClient &peers;
    const GatewayConfigurationHolder &configurationHolder;
    InstanceRecord self;
    Time startedAt;
    Counter &fromReserve;
    std::array<Counter *, allowanceBoundNames.size()> decisionCounters;
    Counter &unanswered;
    Counter &issued;
    LatencyHistogram &askSeconds;
    std::mutex mutex; //!< Guards the members below.
    AllowanceReserves reserves;
    AllowanceIssuer issuer;
    PermitIssuer loneIssuer;
    PermitMembers members;
    Time expiredAt; //!< When expire() was last called.
    std::map<std::string, Time> silentUntil; //!< Peers that did not answer, by address, with the time until which they are not asked.
    std::map<OrganisationId, Usage> usage; //!< Since takeBusiest() was last called.
};

} // namespace oleandergate

#endif
