#ifndef OLEANDERGATE_DECISION_ENDPOINTTABLE_H
#define OLEANDERGATE_DECISION_ENDPOINTTABLE_H

#include "decision/endpointspec.h"
#include "decision/time.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace oleandergate {

//! State of one endpoint as seen by a dispatcher.
struct EndpointState
{
    EndpointSpec spec{};
    std::uint32_t hash = 0; //!< See endpointHash().
    bool listed = true; //!< Part of the latest endpoint list.
    std::uint32_t inFlight = 0; //!< Calls of this instance at the endpoint.
    std::uint32_t peerCalls = 0; //!< Calls of other instances, from the latest load report.
    double slowness = 1.0; //!< Time its streams take relative to the pool's mean; 1 is average, larger is slower. Until one was seen, that of the others.
    bool isMeasured = false; //!< Its slowness is its own.
    Time avoidUntil{}; //!< The endpoint gets no new call before this time.
    double callsPerSecond = 0.0; //!< Rate limit of this instance's and all others' calls; 0 for none.
    Time blockedUntil{}; //!< With a rate limit: the endpoint gets no new call of this instance before this time.
    std::uint32_t avoidances = 0; //!< Number of consecutive avoidances, for the exponential backoff.
};

//! The endpoints of a pool, ordered by load so that the least loaded one is found without a scan.
class EndpointTable
{
public:
    //! With \p limited, an endpoint that has \p overcommit calls per batch slot gets no more.
    EndpointTable(bool limited, double overcommit);

    //! Sets this instance's failure domain. \p remoteLoadPenalty is added to the load, as a share of the slots, of endpoints in other
    //! failure domains. Takes effect with the next assign().
    void setLocalDomain(const std::string &domain, double remoteLoadPenalty);

    //! Returns true when the endpoint is in another failure domain than this instance.
    bool isRemote(std::size_t index) const;

    //! Returns the usable endpoints of this instance's failure domain, or all when it has none.
    const std::vector<std::size_t> &localEndpoints() const;

    //! Replaces the list of endpoints. Indices of known endpoints stay valid.
    void assign(const std::vector<EndpointSpec> &specs);

    std::optional<std::size_t> indexOf(const EndpointId &id) const;
    const EndpointState &at(std::size_t index) const;
    std::size_t size() const;

    //! Returns the number of endpoints that are listed and not leaving.
    std::size_t usableCount() const;

    //! Returns whether the endpoint is listed and not leaving.
    bool isUsable(std::size_t index) const;

    //! Returns true when the endpoint may take another call at \p now.
    bool hasRoom(std::size_t index, Time now) const;

    //! Returns up to \p count endpoints that may take another call, least loaded first and without those in \p avoid. Only those of the software
    //! version \p version if it is set.
    std::vector<std::size_t> leastLoaded(std::size_t count, const std::set<EndpointId> &avoid, const std::optional<std::string> &version, Time now) const;

    //! Returns whether the endpoint has the software version \p version, if it is set.
    bool hasVersion(std::size_t index, const std::optional<std::string> &version) const;

    void addCall(std::size_t index);
    void removeCall(std::size_t index);
    void setPeerCalls(std::size_t index, std::uint32_t calls);
    void setSlowness(std::size_t index, double slowness);

    //! Excludes an endpoint from new calls for \p length, doubled with each consecutive avoidance.
    void avoid(std::size_t index, Duration length, Time now);

    //! Sets the rate limit of an endpoint; 0 for none.
    void setRateLimit(std::size_t index, double callsPerSecond);

    //! Excludes a rate-limited endpoint from new calls until \p time.
    void block(std::size_t index, Time time);

    //! Returns the earliest time after \p now at which a usable endpoint is no longer blocked; Time::max() when none is.
    Time nextUnblock(Time now) const;

    //! Returns how many calls a second the usable endpoints take from this instance and others, if a call occupies a slot for \p callSeconds
    //! and \p instances instances share the rate limits equally.
    double callRate(double callSeconds, std::size_t instances) const;

    //! Returns the calls at the endpoints that take new ones, per slot.
    double occupancy() const;

    //! Resets the backoff of an endpoint. A running avoidance stays.
    void clearAvoidance(std::size_t index);

private:
    struct Ranked
    {
        double load = 0.0;
        std::uint64_t tieBreak = 0;
        std::size_t index = 0;
        bool operator<(const Ranked &other) const;
    };

    double loadOf(const EndpointState &state) const;
    std::uint32_t limitOf(const EndpointState &state) const;
    void unrank(std::size_t index);
    void rank(std::size_t index);

    //! Lets endpoints without a measurement count as slow as the measured ones are on average: an endpoint is not preferred for having been tried first.
    void updateUnmeasured();

    bool limited;
    double overcommit;
    std::string localDomain;
    double remoteLoadPenalty = 0.0;
    std::vector<EndpointState> states;
    std::vector<Ranked> ranks;
    std::vector<bool> ranked;
    std::unordered_map<EndpointId, std::size_t> indices;
    std::set<Ranked> order;
    std::vector<std::size_t> localIndices;
    std::uint32_t totalSlots = 0;
    std::size_t usable = 0;
    std::uint64_t rankCount = 0;
    std::set<std::size_t> rateLimited; //!< Endpoints with a rate limit.
    std::set<std::size_t> unmeasured; //!< Endpoints that no stream has measured.
    double measuredSlowness = 0.0; //!< Sum over the measured endpoints.
    double appliedSlowness = 1.0; //!< What the unmeasured endpoints have.
};

} // namespace oleandergate

#endif
