#include "gateway/gatewaypolicy.h"

namespace oleandergate {

namespace {

//! Load added to endpoints in other failure domains, as traffic between domains costs money and time. It equals about two
//! more calls at a local endpoint with the usual 6 or 16 slots.
constexpr double serviceRemotePenalty = 0.34;
constexpr double engineRemotePenalty = 0.15;

//! Calls that a gateway places at an endpoint, per slot, its own and those of others together. The counts of others are old and call
//! places taken that are free again; the endpoint's own queue is exact. Engines queue three calls per slot, so the last quarter is left
//! to calls that the counts do not show yet.
constexpr double callsPerSlot = 3.0;

//! How much earlier the deadline of a program counts for each step of its route's priority.
constexpr Duration priorityStep = std::chrono::milliseconds(250);
constexpr Duration remoteDelay = std::chrono::milliseconds(10);

} // namespace

PolicyOptions gatewayPolicyFor(const GatewayService &service)
{
    PolicyOptions options;
    options.admissionControl = false;
    options.preempt = false;
    options.migrate = false;
    options.order = QueueOrder::Deadline;
    options.priorityStep = priorityStep;
    options.remoteLoadPenalty = service.isEngine ? engineRemotePenalty : serviceRemotePenalty;
    options.remoteDelay = remoteDelay;
    options.overcommit = callsPerSlot;
    // The estimate weighs a cached prefix against the calls at its endpoint. Waiting for that endpoint on top would leave others idle.
    options.maxAffinityWait = Duration::zero();
    if (!service.isEngine) {
        options.placement = PlacementRule::LeastOutstanding;
    }
    return options;
}

} // namespace oleandergate
