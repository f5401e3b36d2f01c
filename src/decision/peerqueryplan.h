#ifndef OLEANDERGATE_DECISION_PEERQUERYPLAN_H
#define OLEANDERGATE_DECISION_PEERQUERYPLAN_H

#include "decision/peeroffer.h"

#include <optional>
#include <set>
#include <vector>

namespace oleandergate {

//! Schedules queries to peers that have newer state than this instance, for example a newer configuration.
//!
//! A peer may freeze or be cut off just after its report. Therefore further peers are queried while earlier queries are pending,
//! those first whose reports arrived last, and in the end the key-value service is read.
class PeerQueryPlan
{
public:
    struct Limits
    {
        Duration firstDelay{}; //!< Wait before the first queries, as the newer state may arrive by itself.
        Duration roundInterval{}; //!< Time between two rounds of queries.
        std::size_t queriesPerRound = 1;
        std::size_t maxPending = 1; //!< Largest number of queries under way.
        std::optional<Duration> readDelay{}; //!< Time after which the key-value service is read, and between two readings; nothing for never.
    };

    //! What to do now.
    struct Step
    {
        std::vector<std::string> queries{}; //!< Addresses of the peers to query.
        bool readService = false;
    };

    explicit PeerQueryPlan(const Limits &limits);

    //! Returns what to do at \p now. \p offers has the peers with newer state; it is empty when this instance is up to date. Each
    //! returned query has to be ended by onQueryEnded().
    Step next(const std::vector<PeerOffer> &offers, Time now);

    //! Records that the query of \p address ended, with or without a reply.
    void onQueryEnded(const std::string &address);

    //! Returns how long newer state has been known to exist, or nothing when this instance is up to date.
    std::optional<Duration> behindFor(Time now) const;

private:
    //! Returns the peers to query next, the preferred ones first.
    std::vector<std::string> candidates(const std::vector<PeerOffer> &offers);

    Limits limits;
    std::optional<Time> behindSince{};
    Time nextRoundAt{};
    Time nextReadAt{};
    std::set<std::string> pending; //!< Peers with a query under way.
    std::set<std::string> queried; //!< Peers queried since this instance was last up to date.
};

} // namespace oleandergate

#endif
