#ifndef OLEANDERGATE_GATEWAY_STREAMNEWS_H
#define OLEANDERGATE_GATEWAY_STREAMNEWS_H

#include "decision/toldstreams.h"
#include "gateway/newschannel.h"

#include <mutex>

namespace oleandergate {

//! Exchanges with the other instances where streams began. Thread-safe.
//!
//! It is told with the next load report, 50 ms later at the most, and nothing waits for it: a stream that nobody was told of is looked up in the key-value
//! service.
class StreamNews
{
public:
    explicit StreamNews(InstanceId self);

    //! As in ToldStreams.
    void tell(std::uint64_t stream, StreamOrigin origin);
    std::optional<StreamOrigin> find(std::uint64_t stream) const;
    std::vector<StreamOrigin> findAll(std::uint64_t stream) const;
    void expire(Time before);

    //! The channel refers to this object.
    NewsChannel channel();

private:
    std::string nextReport();
    bool onPayload(const std::string &payload, Time now);

    InstanceId self;
    mutable std::mutex mutex;
    ToldStreams told;
};

} // namespace oleandergate

#endif
