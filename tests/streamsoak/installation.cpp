#include "installation.h"

#include <algorithm>

namespace oleandergate::streamsoak {

namespace {

using support::Behaviour;

constexpr std::array mixedRoutes{Route::Turns, Route::Turns, Route::Turns, Route::Spread, Route::Split, Route::Split, Route::Single};

constexpr std::array mixedTroubles{Trouble::Kill,
                                   Trouble::Kill,
                                   Trouble::Stop,
                                   Trouble::Freeze,
                                   Trouble::Freeze,
                                   Trouble::StoreRefusal,
                                   Trouble::StoreSilence,
                                   Trouble::LinkSilence,
                                   Trouble::LinkReset,
                                   Trouble::LinkRefusal,
                                   Trouble::Reload,
                                   Trouble::Configuration,
                                   Trouble::EndpointCrash,
                                   Trouble::EndpointCrash,
                                   Trouble::EndpointRestart};

constexpr auto mixedFaults = []() {
    std::array<Behaviour, soak::faultNames.size()> faults{};
    for (std::size_t index = 0; index < faults.size(); ++index) {
        faults[index] = soak::faultNames[index].value;
    }
    return faults;
}();

// With these second answers come at once; those of soak::faultNames come late.
constexpr auto fleetFaults = []() {
    std::array<Behaviour, mixedFaults.size() + 2 * furtherFaultNames.size()> faults{};
    std::ranges::copy(mixedFaults, faults.begin());
    for (std::size_t index = mixedFaults.size(); index < faults.size(); ++index) {
        faults[index] = furtherFaultNames[index % furtherFaultNames.size()].value;
    }
    return faults;
}();

// Both also release new software versions; see StreamPlan.
constexpr std::array fleetTroubles{Trouble::Kill,
                                   Trouble::Kill,
                                   Trouble::Stop,
                                   Trouble::Freeze,
                                   Trouble::StoreSilence,
                                   Trouble::LinkSilence,
                                   Trouble::LinkRefusal,
                                   Trouble::Configuration,
                                   Trouble::EndpointRestart,
                                   Trouble::EndpointFreeze,
                                   Trouble::EndpointFreeze,
                                   Trouble::EndpointSilence,
                                   Trouble::EndpointAddition,
                                   Trouble::GatewaySlowness,
                                   Trouble::GatewaySlowness,
                                   Trouble::ConfigurationStorm,
                                   Trouble::ConfigurationStorm};

constexpr std::array banderaTroubles{Trouble::Kill,
                                     Trouble::Kill,
                                     Trouble::Stop,
                                     Trouble::StoreRefusal,
                                     Trouble::LinkSilence,
                                     Trouble::LinkRefusal,
                                     Trouble::Reload,
                                     Trouble::Configuration,
                                     Trouble::EndpointRestart};

// Ends of gateways and changes of routes, which both lists of the users have in common.
constexpr std::array denseTroubles{Trouble::KillAll,
                                   Trouble::KillAll,
                                   Trouble::KillAllWithoutStore,
                                   Trouble::KillBehindChange,
                                   Trouble::KillBehindChange,
                                   Trouble::Roll,
                                   Trouble::RouteMove,
                                   Trouble::RouteMove,
                                   Trouble::RouteMove,
                                   Trouble::RouteMove,
                                   Trouble::RouteShares,
                                   Trouble::RouteShares,
                                   Trouble::RouteRemoval,
                                   Trouble::RoutePrefix,
                                   Trouble::RoutePrefix,
                                   Trouble::GatewayAddition,
                                   Trouble::AddressReuse,
                                   Trouble::GatewayCrawl};

template <std::size_t Size, std::size_t FurtherSize>
constexpr auto joined(const std::array<Trouble, Size> &troubles, const std::array<Trouble, FurtherSize> &further)
{
    std::array<Trouble, Size + FurtherSize> all{};
    std::ranges::copy(further, std::ranges::copy(troubles, all.begin()).out);
    return all;
}

// Each of the other fields that decide how a stream begins and goes on, and ends in series.
constexpr std::array changingTroubles{Trouble::RouteFlag,
                                      Trouble::RouteFlag,
                                      Trouble::RouteFlag,
                                      Trouble::RouteFlagMove,
                                      Trouble::RouteFlagMove,
                                      Trouble::RouteFlagMove,
                                      Trouble::RouteFlagKill,
                                      Trouble::RouteFlagKill,
                                      Trouble::RouteFlicker,
                                      Trouble::RouteWidening,
                                      Trouble::RouteTimeout,
                                      Trouble::RouteKind,
                                      Trouble::KillTwice,
                                      Trouble::KillBehindRefusal,
                                      Trouble::StoreLoss,
                                      Trouble::StoreDelay,
                                      Trouble::WatchSilence,
                                      Trouble::EndpointReturn};

// Gateways that lose touch alone, and ends of gateways that have their streams taken up elsewhere.
constexpr std::array lastingTroubles{Trouble::OwnStoreRefusal,
                                     Trouble::OwnStoreRefusal,
                                     Trouble::OwnStoreRefusal,
                                     Trouble::OwnStoreRefusal,
                                     Trouble::OwnWatchSilence,
                                     Trouble::OwnWatchSilence,
                                     Trouble::Kill,
                                     Trouble::Kill,
                                     Trouble::Kill,
                                     Trouble::Kill,
                                     Trouble::KillAll,
                                     Trouble::Freeze,
                                     Trouble::Stop,
                                     Trouble::RouteMove,
                                     Trouble::RouteMove,
                                     Trouble::RouteShares,
                                     Trouble::RoutePrefix,
                                     Trouble::StoreRefusal,
                                     Trouble::EndpointAddition,
                                     Trouble::EndpointCrash};

// What is in force changes beside each of these.
constexpr std::array cutReleases{Trouble::PeerCut,
                                 Trouble::PeerCut,
                                 Trouble::PeerCut,
                                 Trouble::PeerCutSilent,
                                 Trouble::PeerCutSilent,
                                 Trouble::PeerCutIncoming,
                                 Trouble::PeerCutOutgoing,
                                 Trouble::PeerCutOnly,
                                 Trouble::PairCut,
                                 Trouble::PairCut,
                                 Trouble::PairCutSilent,
                                 Trouble::ReleasePause,
                                 Trouble::ReleasePause};

constexpr std::array cutTroubles{Trouble::Kill,
                                 Trouble::Kill,
                                 Trouble::Stop,
                                 Trouble::Freeze,
                                 Trouble::OwnStoreRefusal,
                                 Trouble::OwnWatchSilence,
                                 Trouble::StoreRefusal,
                                 Trouble::RouteMove,
                                 Trouble::EndpointCrash};

constexpr auto denseFleetTroubles = joined(fleetTroubles, denseTroubles);
constexpr auto denseBanderaTroubles = joined(banderaTroubles, denseTroubles);
constexpr auto changingFleetTroubles = joined(denseFleetTroubles, changingTroubles);
constexpr auto changingBanderaTroubles = joined(denseBanderaTroubles, changingTroubles);

// Three streams of Route::Query to one of Route::Plan, four to one; the others are played beside them.
constexpr std::array fleetRoutes{Route::Query, Route::Query, Route::Query, Route::Plan, Route::Turns, Route::Spread, Route::Split, Route::Single};
constexpr std::array banderaRoutes{
    Route::Query, Route::Query, Route::Query, Route::Query, Route::Plan, Route::Turns, Route::Spread, Route::Split, Route::Single};

//! The examples of the wire take a stream up without naming an attempt; which share of the callers does so is not known.
constexpr int otherNaming = 40;

InstallationSettings mixed(int programs, int slowReaders, int leave)
{
    InstallationSettings settings;
    settings.memoryMegabytes = 110;
    settings.callers = 40;
    settings.programs = programs;
    settings.slowReaders = slowReaders;
    settings.leave = leave;
    settings.fewestTroubles = 4;
    settings.mostTroubles = 10;
    settings.routes = mixedRoutes;
    settings.troubles = mixedTroubles;
    settings.faults = mixedFaults;
    return settings;
}

InstallationSettings nakhlaFleet()
{
    InstallationSettings settings = mixed(80, 10, 4);
    settings.otherNaming = otherNaming;
    settings.streamsPerSecond = 28.6;
    settings.callers = 36;
    settings.routes = fleetRoutes;
    settings.troubles = fleetTroubles;
    settings.faults = fleetFaults;
    settings.mostTroubles = 14;
    settings.hasOwnRoutes = true;
    settings.queryObjectiveMs = 250;
    return settings;
}

InstallationSettings talleresBandera()
{
    InstallationSettings settings = mixed(80, 10, 4);
    settings.memoryMegabytes = 260;
    settings.otherNaming = otherNaming;
    settings.streamsPerSecond = 19.2;
    settings.callers = 35;
    settings.routes = banderaRoutes;
    settings.troubles = banderaTroubles;
    settings.hasOwnRoutes = true;
    settings.queryObjectiveMs = 200;
    return settings;
}

InstallationSettings dense(InstallationSettings settings, std::span<const Trouble> troubles)
{
    settings.troubles = troubles;
    settings.fewestTroubles = 10;
    settings.mostTroubles = 28;
    settings.isDense = true;
    return settings;
}

//! Up to a trouble every 0.3 s.
InstallationSettings changing(InstallationSettings settings, std::span<const Trouble> troubles)
{
    settings = dense(settings, troubles);
    settings.mostTroubles = 36;
    settings.hasty = 5;
    settings.large = 3;
    return settings;
}

InstallationSettings lasting(InstallationSettings settings)
{
    settings = dense(settings, lastingTroubles);
    settings.isLasting = true;
    settings.fewestTroubles = 16;
    settings.mostTroubles = 40;
    return settings;
}

InstallationSettings cut(InstallationSettings settings)
{
    settings = dense(settings, cutTroubles);
    settings.isLasting = true;
    settings.gateways = 5;
    settings.releases = cutReleases;
    settings.fewestTroubles = 0;
    settings.mostTroubles = 6;
    return settings;
}

} // namespace

const InstallationSettings &settingsOf(Installation installation)
{
    static const std::array<InstallationSettings, installationNames.size()> settings{mixed(80, 10, 4),
                                                                                     mixed(30, 25, 8),
                                                                                     nakhlaFleet(),
                                                                                     talleresBandera(),
                                                                                     dense(nakhlaFleet(), denseFleetTroubles),
                                                                                     dense(talleresBandera(), denseBanderaTroubles),
                                                                                     changing(nakhlaFleet(), changingFleetTroubles),
                                                                                     changing(talleresBandera(), changingBanderaTroubles),
                                                                                     lasting(nakhlaFleet()),
                                                                                     lasting(talleresBandera()),
                                                                                     cut(nakhlaFleet()),
                                                                                     cut(talleresBandera())};
    return settings[static_cast<std::size_t>(installation)];
}

} // namespace oleandergate::streamsoak
