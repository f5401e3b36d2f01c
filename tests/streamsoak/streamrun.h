#ifndef OLEANDERGATE_TESTS_STREAMSOAK_STREAMRUN_H
#define OLEANDERGATE_TESTS_STREAMSOAK_STREAMRUN_H

#include "gatewaycluster.h"
#include "streamjudge.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace oleandergate::streamsoak {

//! The routes of the configuration in force, where troubles change them.
struct RouteState
{
    int otherShare = 10; //!< Of the other service in Route::Split, in percent.
    bool isQueryMoved = false; //!< Route::Query goes to the other service.
    bool hasPlan = true; //!< There is Route::Plan.
    bool isPlanMoved = false; //!< It goes to the other service.
    bool isQueryResumable = true;
    bool isQueryWide = false; //!< It has a shorter prefix.
    bool isQueryStream = true; //!< It is a route for streams.
    int queryTimeoutMs = 4000;
    bool hasLongerPrefix = false; //!< A part of the streams of Route::Query has a route of its own, to the service to which that does not go.
};

//! Plays a plan with real processes.
class StreamRun
{
public:
    explicit StreamRun(const StreamPlan &plan);

    //! Returns what was seen, or nothing when the gateways did not become ready.
    std::optional<Seen> play();

    //! Returns the log of a gateway.
    std::string log(std::size_t gateway) const;

private:
    using Play = void (StreamRun::*)(const PlannedTrouble &);
    static Play playOf(Trouble trouble);

    void killGateway(const PlannedTrouble &planned);
    void stopGateway(const PlannedTrouble &planned);
    void freezeGateway(const PlannedTrouble &planned);
    void refuseAtStore(const PlannedTrouble &planned);
    void silenceStore(const PlannedTrouble &planned);
    void refuseOneAtStore(const PlannedTrouble &planned);
    void silenceOneWatcher(const PlannedTrouble &planned);
    void changeLinks(const PlannedTrouble &planned);
    void reload(const PlannedTrouble &planned);
    void changeConfiguration(const PlannedTrouble &planned);
    void crashEndpoint(const PlannedTrouble &planned);
    void restartEndpoint(const PlannedTrouble &planned);
    void replaceEndpoint(const PlannedTrouble &planned);
    void freezeEndpoint(const PlannedTrouble &planned);
    void silenceEndpoint(const PlannedTrouble &planned);
    void addEndpoint(const PlannedTrouble &planned);
    void slowGateway(const PlannedTrouble &planned);
    void stormConfiguration(const PlannedTrouble &planned);
    void killAll(const PlannedTrouble &planned);
    void killAllWithoutStore(const PlannedTrouble &planned);
    void killBehindChange(const PlannedTrouble &planned);
    void roll(const PlannedTrouble &planned);
    void moveRoute(const PlannedTrouble &planned);
    void changeShares(const PlannedTrouble &planned);
    void removeRoute(const PlannedTrouble &planned);
    void changePrefix(const PlannedTrouble &planned);
    void addGateway(const PlannedTrouble &planned);
    void reuseAddress(const PlannedTrouble &planned);
    void crawlGateway(const PlannedTrouble &planned);
    void changeFlag(const PlannedTrouble &planned);
    void flicker(const PlannedTrouble &planned);
    void widenRoute(const PlannedTrouble &planned);
    void changeTimeout(const PlannedTrouble &planned);
    void changeKind(const PlannedTrouble &planned);
    void killTwice(const PlannedTrouble &planned);
    void killBehindRefusal(const PlannedTrouble &planned);
    void loseStoreAnswers(const PlannedTrouble &planned);
    void delayStore(const PlannedTrouble &planned);
    void silenceOnePrefix(const PlannedTrouble &planned);
    void returnEndpoint(const PlannedTrouble &planned);
    void releaseBeside(const PlannedTrouble &planned);

    //! Replaces the endpoints from \p first on, half of all, by some of \p version.
    void replaceHalf(std::size_t first, const std::string &version);

    //! Breaks the callers' connections to all gateways but \p odd; their streams are taken up at the first of these.
    void breakConnections(const std::set<std::size_t> &odd);

    //! Sets whether Route::Query may be resumed, from the next configuration on.
    void setQueryResumable(bool isResumable);

    //! Stores the next configuration, with the routes as they are now.
    void configureNext(const std::string &callerLimits = support::GatewayCluster::defaultLimits);

    //! Has \p action happen on the thread of play(), which starts all processes: a process ends with the thread that started it.
    void later(Milliseconds delay, std::function<void()> action);
    void playDue();

    //! Notices gateways that ended, and kills those that took too long to stop.
    void watchProcesses();
    void startLater(std::size_t gateway, Milliseconds delay);

    //! Returns how many processes of the gateway have logged their start.
    std::size_t loggedStarts(std::size_t gateway) const;

    //! Returns whether the gateway's latest process has not logged its start: it handles no signals yet.
    bool isBeforeStart(std::size_t gateway) const;

    //! Has the gateway run for \p run at a time, and stand still in between, until \p until.
    void slowUntil(std::size_t gateway, Milliseconds run, Time until);

    //! Removes the registration of the endpoint in the place \p slot as one that expired, and after \p duration puts another one in its place.
    void expireEndpoint(std::size_t slot, Milliseconds duration);

    void registerNew(const support::StandinEndpoint &endpoint, const std::string &service = "engine");

    //! Puts a new endpoint in the place \p slot and registers it.
    void startEndpoint(std::size_t slot, const std::string &id, const std::string &version);

    //! Ends \p endpoint, and keeps what it received.
    void retire(std::unique_ptr<support::StandinEndpoint> endpoint);
    void makeCutter(std::size_t slot);
    void collect(const support::StandinEndpoint &endpoint);

    const StreamPlan &plan;
    support::GatewayCluster cluster;
    std::deque<GatewayState> states{};
    std::multimap<Time, std::function<void()>> actions{};
    std::vector<std::optional<Time>> killAt; //!< Of gateways that stop.
    std::vector<std::size_t> earlierStarts; //!< Processes of each gateway that had logged their start when its latest one was started.
    std::vector<std::unique_ptr<support::StandinEndpoint>> retired{};
    std::vector<std::unique_ptr<support::StandinEndpoint>> added{};
    std::size_t endpointsStarted = 0;
    int configurationVersion = 2;
    RouteState routes{};
    Seen seen{};
};

} // namespace oleandergate::streamsoak

#endif
