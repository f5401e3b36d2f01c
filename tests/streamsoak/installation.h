#ifndef OLEANDERGATE_TESTS_STREAMSOAK_INSTALLATION_H
#define OLEANDERGATE_TESTS_STREAMSOAK_INSTALLATION_H

#include "decision/nametable.h"
#include "soak/stopplan.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace oleandergate::streamsoak {

//! The installations whose seeds are played. What a seed of the first two plays stays as it was, for the seeds that ever failed.
enum class Installation : std::uint8_t {
    Nakhla, //!< Most callers have programs.
    Talleres, //!< Few callers have programs; more of them read slowly or leave.
    NakhlaFleet, //!< With its own memory, streams a second, routes and troubles, like the next one.
    TalleresBandera,
    NakhlaFleetDense, //!< The same with changes of routes and ends of all gateways at once beside them, up to several troubles a second.
    TalleresBanderaDense,
    NakhlaFleetChanging, //!< The dense form with changes of other fields of the routes beside it, and further faults of store, endpoints and callers.
    TalleresBanderaChanging,
    NakhlaFleetLasting, //!< Runs that last longer than former assignments and targets are known, with troubles of one gateway alone.
    TalleresBanderaLasting,
    NakhlaFleetCut, //!< Gateways that are cut off from the others, or stand still, while a new software version joins; streams of the others break and come
                    //!< there.
    TalleresBanderaCut,
};

inline constexpr std::array installationNames{
    NamedValue<Installation>{Installation::Nakhla, "nakhla"},
    NamedValue<Installation>{Installation::Talleres, "talleres"},
    NamedValue<Installation>{Installation::NakhlaFleet, "nakhla-fleet"},
    NamedValue<Installation>{Installation::TalleresBandera, "talleres-bandera"},
    NamedValue<Installation>{Installation::NakhlaFleetDense, "nakhla-fleet-dense"},
    NamedValue<Installation>{Installation::TalleresBanderaDense, "talleres-bandera-dense"},
    NamedValue<Installation>{Installation::NakhlaFleetChanging, "nakhla-fleet-changing"},
    NamedValue<Installation>{Installation::TalleresBanderaChanging, "talleres-bandera-changing"},
    NamedValue<Installation>{Installation::NakhlaFleetLasting, "nakhla-fleet-lasting"},
    NamedValue<Installation>{Installation::TalleresBanderaLasting, "talleres-bandera-lasting"},
    NamedValue<Installation>{Installation::NakhlaFleetCut, "nakhla-fleet-cut"},
    NamedValue<Installation>{Installation::TalleresBanderaCut, "talleres-bandera-cut"},
};

enum class Route : std::uint8_t {
    Turns, //!< May be resumed, one attempt.
    Spread, //!< May be resumed, three attempts.
    Split, //!< May be resumed, one attempt, at one of two services.
    Single, //!< May not be resumed.
    Query, //!< May be resumed, one attempt, the installation's own limits; like the next one, which has a higher priority.
    Plan,
};

inline constexpr std::array routeNames{
    NamedValue<Route>{Route::Turns, "turns"},
    NamedValue<Route>{Route::Spread, "spread"},
    NamedValue<Route>{Route::Split, "split"},
    NamedValue<Route>{Route::Single, "single"},
    NamedValue<Route>{Route::Query, "query"},
    NamedValue<Route>{Route::Plan, "plan"},
};

enum class Trouble : std::uint8_t {
    Kill,
    Stop, //!< SIGTERM, and SIGKILL when the time for it is over.
    Freeze, //!< For its duration, like the ones below.
    StoreRefusal,
    StoreSilence, //!< Watches report nothing.
    LinkSilence,
    LinkReset,
    LinkRefusal,
    Reload,
    Configuration,
    EndpointCrash, //!< Comes back under a new identifier.
    EndpointRestart, //!< Comes back under its identifier.
    Replacement, //!< Of an endpoint, by one of the next software version.
    EndpointFreeze, //!< It stands still in the middle of its streams and goes on.
    EndpointSilence, //!< It stands still for ever, its registration expires, and another one comes in its place.
    EndpointAddition,
    GatewaySlowness, //!< It runs for a fifth of the time.
    ConfigurationStorm, //!< One after the other, with other time limits of idle connections and other shares of Route::Split.
    KillAll, //!< All gateways at once.
    KillAllWithoutStore, //!< The same while the store refuses.
    KillBehindChange, //!< The same right after Route::Query was moved.
    Roll, //!< All gateways are stopped in turn.
    RouteMove, //!< Route::Query goes to the other service, or back.
    RouteShares, //!< Of Route::Split.
    RouteRemoval, //!< Route::Plan is removed, and added again at the other service, or back.
    RoutePrefix, //!< Some streams of Route::Query get a route with a longer prefix to the service to which it does not go, or lose it.
    GatewayAddition,
    AddressReuse, //!< An endpoint of the other service listens at the address of one that has left.
    GatewayCrawl, //!< A gateway runs for a tenth of the time.
    RouteFlag, //!< Route::Query may not be resumed for a while.
    RouteFlagMove, //!< The same, and it goes to the other service, or back, from then on.
    RouteFlagKill, //!< The same with all gateways ended in between.
    RouteFlicker, //!< It goes to the other service and may not be resumed, which is taken back within 50 ms.
    RouteWidening, //!< Its prefix becomes shorter, or what it was, in place.
    RouteTimeout, //!< Its timeout grows or shrinks.
    RouteKind, //!< It is no route for streams for a while.
    KillTwice, //!< The same gateway twice within a second.
    KillBehindRefusal, //!< Route::Query moves, the store refuses, and all gateways end at once and start again meanwhile.
    StoreLoss, //!< Writes take effect, and their answers are lost.
    StoreDelay, //!< Answers are late.
    WatchSilence, //!< Watches of one prefix report nothing.
    EndpointReturn, //!< It ends and starts at its address at once, under a new identifier.
    OwnStoreRefusal, //!< The store refuses one gateway, and its watches report nothing.
    OwnWatchSilence, //!< The store reports nothing to one gateway, and answers it.
    PeerCut, //!< A gateway is cut off from the others, and the store refuses it. Half of the endpoints change version meanwhile, like below.
    PeerCutSilent, //!< The same, and the store reports nothing to it.
    PeerCutIncoming, //!< It hears nothing of the others, and the store refuses it.
    PeerCutOutgoing, //!< The others hear nothing of it, and the store refuses it.
    PeerCutOnly, //!< It reaches the store.
    PairCut, //!< Two gateways are cut off together, and the store refuses both.
    PairCutSilent, //!< The same, and the store reports nothing to them.
    ReleasePause, //!< A gateway stands still.
};

inline constexpr std::array troubleNames{
    NamedValue<Trouble>{Trouble::Kill, "kill"},
    NamedValue<Trouble>{Trouble::Stop, "stop"},
    NamedValue<Trouble>{Trouble::Freeze, "freeze"},
    NamedValue<Trouble>{Trouble::StoreRefusal, "store-refusal"},
    NamedValue<Trouble>{Trouble::StoreSilence, "store-silence"},
    NamedValue<Trouble>{Trouble::LinkSilence, "link-silence"},
    NamedValue<Trouble>{Trouble::LinkReset, "link-reset"},
    NamedValue<Trouble>{Trouble::LinkRefusal, "link-refusal"},
    NamedValue<Trouble>{Trouble::Reload, "reload"},
    NamedValue<Trouble>{Trouble::Configuration, "configuration"},
    NamedValue<Trouble>{Trouble::EndpointCrash, "endpoint-crash"},
    NamedValue<Trouble>{Trouble::EndpointRestart, "endpoint-restart"},
    NamedValue<Trouble>{Trouble::Replacement, "replacement"},
    NamedValue<Trouble>{Trouble::EndpointFreeze, "endpoint-freeze"},
    NamedValue<Trouble>{Trouble::EndpointSilence, "endpoint-silence"},
    NamedValue<Trouble>{Trouble::EndpointAddition, "endpoint-addition"},
    NamedValue<Trouble>{Trouble::GatewaySlowness, "gateway-slowness"},
    NamedValue<Trouble>{Trouble::ConfigurationStorm, "configuration-storm"},
    NamedValue<Trouble>{Trouble::KillAll, "kill-all"},
    NamedValue<Trouble>{Trouble::KillAllWithoutStore, "kill-all-without-store"},
    NamedValue<Trouble>{Trouble::KillBehindChange, "kill-behind-change"},
    NamedValue<Trouble>{Trouble::Roll, "roll"},
    NamedValue<Trouble>{Trouble::RouteMove, "route-move"},
    NamedValue<Trouble>{Trouble::RouteShares, "route-shares"},
    NamedValue<Trouble>{Trouble::RouteRemoval, "route-removal"},
    NamedValue<Trouble>{Trouble::RoutePrefix, "route-prefix"},
    NamedValue<Trouble>{Trouble::GatewayAddition, "gateway-addition"},
    NamedValue<Trouble>{Trouble::AddressReuse, "address-reuse"},
    NamedValue<Trouble>{Trouble::GatewayCrawl, "gateway-crawl"},
    NamedValue<Trouble>{Trouble::RouteFlag, "route-flag"},
    NamedValue<Trouble>{Trouble::RouteFlagMove, "route-flag-move"},
    NamedValue<Trouble>{Trouble::RouteFlagKill, "route-flag-kill"},
    NamedValue<Trouble>{Trouble::RouteFlicker, "route-flicker"},
    NamedValue<Trouble>{Trouble::RouteWidening, "route-widening"},
    NamedValue<Trouble>{Trouble::RouteTimeout, "route-timeout"},
    NamedValue<Trouble>{Trouble::RouteKind, "route-kind"},
    NamedValue<Trouble>{Trouble::KillTwice, "kill-twice"},
    NamedValue<Trouble>{Trouble::KillBehindRefusal, "kill-behind-refusal"},
    NamedValue<Trouble>{Trouble::StoreLoss, "store-loss"},
    NamedValue<Trouble>{Trouble::StoreDelay, "store-delay"},
    NamedValue<Trouble>{Trouble::WatchSilence, "watch-silence"},
    NamedValue<Trouble>{Trouble::EndpointReturn, "endpoint-return"},
    NamedValue<Trouble>{Trouble::OwnStoreRefusal, "own-store-refusal"},
    NamedValue<Trouble>{Trouble::OwnWatchSilence, "own-watch-silence"},
    NamedValue<Trouble>{Trouble::PeerCut, "peer-cut"},
    NamedValue<Trouble>{Trouble::PeerCutSilent, "peer-cut-silent"},
    NamedValue<Trouble>{Trouble::PeerCutIncoming, "peer-cut-incoming"},
    NamedValue<Trouble>{Trouble::PeerCutOutgoing, "peer-cut-outgoing"},
    NamedValue<Trouble>{Trouble::PeerCutOnly, "peer-cut-only"},
    NamedValue<Trouble>{Trouble::PairCut, "pair-cut"},
    NamedValue<Trouble>{Trouble::PairCutSilent, "pair-cut-silent"},
    NamedValue<Trouble>{Trouble::ReleasePause, "release-pause"},
};

//! Names of what endpoints do with streams, beside soak::faultNames.
inline constexpr std::array furtherFaultNames{
    NamedValue<support::Behaviour>{support::Behaviour::ExtraStream, "extra-stream"},
    NamedValue<support::Behaviour>{support::Behaviour::ExtraUnnamedStream, "extra-unnamed-stream"},
};

constexpr std::string_view faultName(support::Behaviour fault)
{
    for (const NamedValue<support::Behaviour> &row : furtherFaultNames) {
        if (row.value == fault) {
            return row.name;
        }
    }
    return nameIn(soak::faultNames, fault);
}

//! Settings, callers and troubles of an installation. Shares are in percent.
struct InstallationSettings
{
    std::size_t gateways = 3; //!< That run from the start.
    int memoryMegabytes = 0; //!< Of each gateway.
    double streamsPerSecond = 0.0; //!< Of all callers; with zero each begins its next stream when the last one is over.
    std::size_t callers = 0;
    int programs = 0; //!< Callers with one.
    int slowReaders = 0; //!< Streams that their callers read slowly.
    int leave = 0; //!< Streams that their callers leave.
    int otherNaming = 0; //!< Streams whose callers name another attempt than the first one when they take them up, or none.
    std::int64_t fewestTroubles = 0;
    std::int64_t mostTroubles = 0;
    std::span<const Route> routes{}; //!< Chosen evenly, like the ones below; a row may occur more than once.
    std::span<const Trouble> troubles{};
    std::span<const support::Behaviour> faults{}; //!< Of the endpoint of a stream.
    bool hasOwnRoutes = false; //!< Configurations have Route::Query and Route::Plan beside those of a cluster for streams and Route::Split.
    int queryObjectiveMs = 0; //!< Of these two.
    int hasty = 0; //!< Streams whose callers wait for a short time only.
    int large = 0; //!< Streams with large events.
    std::span<const Trouble>
        releases{}; //!< Troubles beside which half of the endpoints change version, one after the other; each is followed by the other half.
    bool isLasting = false; //!< Runs are long, timeouts short, and releases end halfway.
    bool isDense = false; //!< There is a gateway to add, paths of streams have a folder, and callers try longer.
};

const InstallationSettings &settingsOf(Installation installation);

} // namespace oleandergate::streamsoak

#endif
