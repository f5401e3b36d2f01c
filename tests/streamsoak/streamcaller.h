#ifndef OLEANDERGATE_TESTS_STREAMSOAK_STREAMCALLER_H
#define OLEANDERGATE_TESTS_STREAMSOAK_STREAMCALLER_H

#include "decision/time.h"
#include "streamplan.h"
#include "support/callerconnection.h"

#include <atomic>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace oleandergate::streamsoak {

//! An attempt of a stream as its caller saw it.
struct Attempt
{
    std::string id{};
    std::size_t gateway = 0;
    std::string lastEvent{}; //!< It was to go on behind this one.
    std::string resumes{}; //!< The attempt that it named; empty for none.
    Time beganAt{};
    Time endedAt{};
    int status = 0; //!< 0 when no whole head arrived.
    std::string answeredId{}; //!< The request that its answer names.
    std::vector<std::string> events{}; //!< The whole ones.
    bool complete = false; //!< Arrived whole, by its framing.
    bool left = false; //!< By its caller, as planned.
};

struct SeenStream
{
    const PlannedStream *plan = nullptr;
    std::vector<Attempt> attempts{};
};

//! State of a gateway that its callers follow.
struct GatewayState
{
    std::string address{};
    std::atomic<bool> avoided{false}; //!< The balancer sends no further requests.
    std::atomic<std::uint32_t> breaks{0}; //!< How often all connections of callers broke.
    std::atomic<int> takenUpAt{-1}; //!< Where callers go whose connections break; the next gateway if negative.
};

//! Sends the streams of one caller, and takes each up elsewhere that breaks off.
class StreamCaller
{
public:
    StreamCaller(const std::vector<PlannedStream> &plan, const std::deque<GatewayState> &gateways);

    //! Returns when the streams that began before \p endAt are over. The times of the plan are relative to \p beginAt.
    void run(Time beginAt, Time endAt);

    std::vector<SeenStream> streams{};

private:
    void receive(const PlannedStream &planned, SeenStream &seen) const;

    //! Sends an attempt to \p gateway or, while that one takes no connection, to the next one that does. Returns nothing if none does.
    std::optional<Attempt> attempt(const PlannedStream &planned, Attempt next, Time leaveAt) const;

    const std::vector<PlannedStream> &plan;
    const std::deque<GatewayState> &gateways;
};

} // namespace oleandergate::streamsoak

#endif
