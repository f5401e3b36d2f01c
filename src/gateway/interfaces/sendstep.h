#ifndef OLEANDERGATE_GATEWAY_INTERFACES_SENDSTEP_H
#define OLEANDERGATE_GATEWAY_INTERFACES_SENDSTEP_H

#include "decision/runadmission.h"
#include "gateway/relayrequest.h"

#include <boost/asio/awaitable.hpp>

namespace oleandergate {

//! What a step decided about a send.
enum class SendDecision : std::uint8_t {
    Proceed,
    Again, //!< Not now, or not at this endpoint: the steps begin anew.
    Refuse, //!< The request gets no further send; RelayRequest::lastError has the reason.
    CallerLeft
};

//! One send of a request that is being prepared.
struct SendAttempt
{
    CallId call = 0;
    EndpointId requiredEndpoint{}; //!< The only endpoint that may serve the send; empty for any.
    EndpointId otherEndpoint{}; //!< Where another send of the request is under way; empty for none.
    std::optional<Time> placeBefore{}; //!< The send is given up if it has no endpoint by then; the request's deadline if not set.
    RunAdmission admission{};
    EndpointSpec endpoint{}; //!< Chosen by the placement.
    Time startedAt{};
    std::optional<Time> placementDeclinedUntil{}; //!< Set by a step that leaves the endpoint without a call until then.
};

//! A condition that has to be met before a request is sent to an endpoint.
class SendStep
{
public:
    virtual ~SendStep() = default;

    //! Decides, which may take until the request's deadline. What was acquired with SendDecision::Proceed is held until undo() or the end of the send.
    virtual boost::asio::awaitable<SendDecision> prepare(RelayRequest &request, SendAttempt &attempt) = 0;

    //! Gives back what prepare() acquired, because a later step did not proceed.
    virtual void undo(const RelayRequest &request, const SendAttempt &attempt, Time now) = 0;
};

} // namespace oleandergate

#endif
