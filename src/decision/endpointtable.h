#ifndef OLEANDERGATE_DECISION_ENDPOINTTABLE_H
#define OLEANDERGATE_DECISION_ENDPOINTTABLE_H

#include "decision/endpointspec.h"
#include "decision/time.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace oleandergate {

//! What a dispatcher knows of one endpoint.
struct EndpointState
{
    EndpointSpec spec{};
    bool listed = true;
    std::uint32_t inFlight = 0; //!< Calls that this instance has there.
    std::uint32_t peerCalls = 0; //!< Calls of other instances, from the latest load report.
    double slowness = 1.0; //!< Pace of its streams relative to the pool; 1 is usual.
    Time avoidUntil{}; //!< No new call before this time.
    std::uint32_t avoidances = 0; //!< Consecutive avoidances, for backoff.
};

//! Endpoints of a pool, ordered by load so that the least loaded one is found without a scan.
class EndpointTable
{
public:
    EndpointTable(bool limited, double overcommit);

    //! Counts endpoints of other failure domains than \p domain as loaded by \p remoteLoadPenalty more. Takes effect with the next list.
    void setLocalDomain(const std::string &domain, double remoteLoadPenalty);

    //! Returns true when the endpoint is in another failure domain than this instance.
    bool isRemote(std::size_t index) const;

    //! Returns the usable endpoints of this instance's failure domain, or all when it has none.
    const std::vector<std::size_t> &localEndpoints() const;

    //! Replaces the list. Indices of known endpoints stay valid.
    void assign(const std::vector<EndpointSpec> &specs);

    std::optional<std::size_t> indexOf(const EndpointId &id) const;
    const EndpointState &at(std::size_t index) const;
    std::size_t size() const;

    //! Returns the number of endpoints that are listed and not leaving.
    std::size_t usableCount() const;

    //! Returns the total of batch slots over the usable endpoints.
    std::uint32_t capacity() const;

    //! Returns true when \p index may take one more call at \p now.
    bool hasRoom(std::size_t index, Time now) const;

    //! Returns up to \p count least loaded endpoints with room, leaving out those in \p avoid.
    std::vector<std::size_t> leastLoaded(std::size_t count, const std::set<EndpointId> &avoid, Time now) const;

    void addCall(std::size_t index);
    void removeCall(std::size_t index);
    void setPeerCalls(std::size_t index, std::uint32_t calls);
    void setSlowness(std::size_t index, double slowness);
    void avoid(std::size_t index, Duration length, Time now);
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
};

} // namespace oleandergate

#endif
