#ifndef OLEANDERGATE_DECISION_TUNNELPEERS_H
#define OLEANDERGATE_DECISION_TUNNELPEERS_H

#include "decision/slottable.h"
#include "decision/time.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace oleandergate {

//! What an instance reports about the endpoints that it reaches.
struct PeerReach
{
    bool isolated = false; //!< It reaches no endpoint directly.
    std::set<std::uint32_t> cutOff{}; //!< Hashes of the identifiers of endpoints that it does not reach directly.
    std::uint32_t carried = 0; //!< Connections that it passes on for others.
};

//! Selects the instances by way of which this one reaches endpoints. Not thread-safe.
class TunnelPeers
{
public:
    //! \p ownDomain is this instance's failure domain.
    TunnelPeers(std::string ownDomain, std::uint64_t seed);

    //! Sets the other live instances.
    void setMembers(const std::vector<InstanceRecord> &live);

    //! Processes a report of \p instance.
    void onReport(const InstanceId &instance, PeerReach reach, Time now);

    //! Returns the peer address of an instance that is likely to reach the endpoint whose identifier has the hash \p endpoint, and is not among
    //! \p tried. Prefers the own failure domain and instances that carry little. Nothing when there is none.
    std::optional<std::string> choose(std::uint32_t endpoint, const std::set<std::string> &tried, Time now);

    //! Returns whether the instance at \p peerAddress may carry connections.
    bool isUsable(const std::string &peerAddress) const;

    //! Excludes an instance that did not answer, for a while.
    void onUnanswered(const std::string &peerAddress, Time now);

    //! Counts the connections that the instance carries for this one.
    void onOpened(const std::string &peerAddress);
    void onClosed(const std::string &peerAddress);

private:
    struct Member
    {
        InstanceRecord record{};
        PeerReach reach{};
        Time reportedAt{};
        Time excludedUntil{};
        std::uint32_t ownTunnels = 0;
    };

    bool mayReach(const Member &member, std::uint32_t endpoint, Time now) const;
    double costOf(const Member &member) const;

    std::string ownDomain;
    std::map<std::string, Member> members; //!< By peer address.
    std::unordered_map<InstanceId, std::string> addresses; //!< The members' peer addresses.
    std::mt19937_64 random;
};

} // namespace oleandergate

#endif
