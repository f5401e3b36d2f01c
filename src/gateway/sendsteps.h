#ifndef OLEANDERGATE_GATEWAY_SENDSTEPS_H
#define OLEANDERGATE_GATEWAY_SENDSTEPS_H

#include "gateway/interfaces/sendstep.h"

#include <memory>
#include <vector>

namespace oleandergate {

class CrashRegistry;
class PoolSet;
class RateLimiter;
class RequestDrain;

//! The steps before each send, in order: the shutdown of this instance, admission by the crash history, placement, the endpoint's rate limit, the record of the
//! stream's software version, registration of the run.
class SendSteps
{
public:
    struct Parts
    {
        RequestDrain &drain;
        PoolSet &pools;
        CrashRegistry &crashes;
        RateLimiter &limiter;
        StreamVersions &versions;
    };

    explicit SendSteps(const Parts &parts);

    //! Takes all steps; a request that is cancelled meanwhile takes no further one. Unless it returns SendDecision::Proceed, what they acquired has been
    //! given back.
    boost::asio::awaitable<SendDecision> prepare(RelayRequest &request, SendAttempt &attempt) const;

private:
    std::vector<std::unique_ptr<SendStep>> steps;
};

} // namespace oleandergate

#endif
