#ifndef OLEANDERGATE_GATEWAY_RATELIMITER_H
#define OLEANDERGATE_GATEWAY_RATELIMITER_H

#include "decision/endpointspec.h"
#include "decision/permitissuer.h"
#include "decision/permitmembers.h"
#include "decision/ratelimittable.h"
#include "gateway/newschannel.h"
#include "gateway/relaycall.h"
#include "wire/peermessage.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <mutex>
#include <set>
#include <string>

namespace oleandergate {

class Counter;
class LatencyHistogram;
class Metrics;
class PeerClient;

//! Keeps the rate limits that endpoints name in their answers, for all instances together: each call to a limited endpoint needs a permit of
//! the one instance that issues them for this endpoint. Thread-safe.
class RateLimiter
{
public:
    //! \p onNews is called when other instances have to know of a change at once.
    RateLimiter(PeerClient &peers, Metrics &metrics, const InstanceRecord &self, std::function<void()> onNews);

    //! Processes what the head of an answer of \p endpoint states.
    void onAnswer(const EndpointSpec &endpoint, const AnswerMetadata &metadata, Time now);

    //! Decides whether one call may be sent to \p endpoint now. Asks the instance that issues its permits if it is limited.
    boost::asio::awaitable<PermitDecision> requestPermit(EndpointSpec endpoint);

    //! Answers a peer's PermitRequest; returns nothing for other messages.
    std::optional<PeerMessage> serve(const PeerMessage &message, Time now);

    //! Sets the other live instances.
    void onMembers(const std::vector<InstanceRecord> &live, Time now);

    //! Returns the limits of those of \p endpoints that have one.
    std::map<EndpointId, double> limitsOf(const std::vector<EndpointId> &endpoints) const;

    //! Returns the number of instances that share the limits.
    std::size_t sharerCount(Time now) const;

    //! Exchanges statements with the other instances. The channel refers to this object.
    NewsChannel channel();

    void expire(Time now);
    std::size_t limitedCount() const;

private:
    std::string nextReport(Time now);
    bool hasNews() const;
    bool onPayload(const std::string &payload, Time now);

    //! Decides without the issuer, which did not answer: by a part of the limit that leaves room for what it may issue to others.
    PermitDecision decideAlone(std::uint32_t endpoint, const RateLimit &limit, Time now);
    PermitDecision issue(std::uint32_t endpoint, double callsPerSecond, Duration limitAge, Time now);
    void logChange(RateLimitChange change, const std::string &endpoint, std::optional<double> callsPerSecond, const std::string &source) const;
    PermitDecision count(const PermitDecision &decision);

    PeerClient &peers;
    InstanceRecord self;
    std::function<void()> onNews;
    Counter &granted;
    Counter &denied;
    Counter &unanswered;
    LatencyHistogram &permitSeconds;
    mutable std::mutex mutex; //!< Guards the members below.
    RateLimitTable table;
    PermitMembers members;
    PermitIssuer issuer;
    PermitIssuer loneIssuer;
    std::map<std::string, Time> silentUntil; //!< Peers that did not answer, by address, with the time until which they are not asked.
    std::set<std::uint32_t> unreadable; //!< Endpoints whose unreadable limit was logged.
};

} // namespace oleandergate

#endif
