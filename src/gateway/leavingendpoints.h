#ifndef OLEANDERGATE_GATEWAY_LEAVINGENDPOINTS_H
#define OLEANDERGATE_GATEWAY_LEAVINGENDPOINTS_H

#include "gateway/newschannel.h"
#include "gateway/poolset.h"
#include "gateway/relaycall.h"

#include <functional>

namespace oleandergate {

class Counter;
class Metrics;

//! Takes endpoints out of use that state in an answer that they are leaving, here and at the other instances: a caller's next request may come to
//! any of them before the registration tells. Thread-safe.
class LeavingEndpoints
{
public:
    //! \p onNews is called when other instances have to know of a statement at once.
    LeavingEndpoints(PoolSet &pools, Metrics &metrics, InstanceId self, std::function<void()> onNews);

    //! Processes what the head of an answer of \p endpoint states. To be called before the answer is passed on.
    void onAnswer(const EndpointSpec &endpoint, const AnswerMetadata &metadata, Time now);

    //! Exchanges statements with the other instances. The channel refers to this object.
    NewsChannel channel();

private:
    bool onPayload(const std::string &payload, Time now);

    PoolSet &pools;
    InstanceId self;
    std::function<void()> onNews;
    Counter &stated;
};

} // namespace oleandergate

#endif
