#ifndef OLEANDERGATE_TESTS_STREAMSOAK_STREAMPLAN_H
#define OLEANDERGATE_TESTS_STREAMSOAK_STREAMPLAN_H

#include "installation.h"
#include "soak/dice.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace oleandergate::streamsoak {

using soak::Milliseconds;

inline constexpr Milliseconds streamLimit{6000}; //!< Time limit of each attempt, unless its caller is in a hurry.

//! Which attempt a caller names in Resumes when it takes a stream up.
enum class Naming : std::uint8_t {
    First, //!< The first one that got an event.
    Latest, //!< The one before, also one that was refused.
    None,
    Unknown, //!< One that never was.
    OtherStream, //!< One of another stream.
};

inline constexpr std::array namingNames{
    NamedValue<Naming>{Naming::First, "first"},
    NamedValue<Naming>{Naming::Latest, "latest"},
    NamedValue<Naming>{Naming::None, "none"},
    NamedValue<Naming>{Naming::Unknown, "unknown"},
    NamedValue<Naming>{Naming::OtherStream, "other-stream"},
};

struct PlannedStream
{
    std::string id{};
    Route route = Route::Turns;
    support::Behaviour fault = support::Behaviour::Normal; //!< Of its endpoint.
    Milliseconds work{0}; //!< At the endpoint, before the first event.
    Milliseconds gap{0}; //!< Between its events.
    Milliseconds readPause{0}; //!< Of a caller that reads slowly.
    Milliseconds leaveAfter{0}; //!< The caller leaves then; zero for never.
    Milliseconds pauseBefore{0};
    Milliseconds limit{streamLimit}; //!< Time limit of each attempt.
    std::size_t eventBytes = 0; //!< In each event, beside its text.
    Milliseconds at{0}; //!< Not before this time of the run, unless the installation has no streams a second.
    std::size_t gateway = 0; //!< Of its first attempt.
    std::string folder{}; //!< In its path, with a slash behind it; empty for none.
    std::size_t maxAttempts = 4; //!< It is taken up three times.
    int maxConnects = 30; //!< Of an attempt.
    std::string program{}; //!< Empty for none.
    Naming naming = Naming::First;
    std::string otherAttempt{}; //!< Of another stream, for Naming::OtherStream.

    //! Returns the attempt to name where \p firstAttempt got the first event and \p latestAttempt was the one before; empty for none.
    std::string namedAttempt(const std::string &firstAttempt, const std::string &latestAttempt) const;

    //! Returns the bytes of an attempt. It goes on behind \p lastEvent and names \p resumes, unless those are empty.
    std::string bytes(const std::string &attempt, const std::string &lastEvent, const std::string &resumes) const;
};

struct PlannedTrouble
{
    Trouble trouble = Trouble::Kill;
    Milliseconds at{0}; //!< Relative to the start of the run.
    Milliseconds duration{0};
    std::size_t target = 0; //!< Gateway or endpoint.
    std::string version{}; //!< Of an endpoint that comes; empty for that of the first one.
};

//! All that happens in the run of one seed.
struct StreamPlan
{
    std::uint64_t seed = 0;
    Installation installation = Installation::Nakhla;
    bool hasLinks = false; //!< The first gateway reaches the endpoints over links.
    bool hasCutters = false; //!< Two endpoints cut every stream.
    bool hasSpare = false; //!< There is a gateway that does not run at first.
    int faultPercent = 0; //!< Share of the streams with a fault of their endpoint.
    Milliseconds length{0};
    std::vector<PlannedTrouble> troubles{}; //!< By their time.
    std::vector<std::vector<PlannedStream>> callers{}; //!< The streams of each, in series.
};

StreamPlan makeStreamPlan(std::uint64_t seed, Installation installation);

//! Returns the number of gateways of a plan, with the one that does not run at first.
std::size_t gatewaysOf(const StreamPlan &plan);

inline constexpr std::size_t endpointCount = 6; //!< Of the service "engine".
inline constexpr std::size_t otherEndpointCount = 2;
inline constexpr std::size_t cutterCount = 2;
inline constexpr const char *otherService = "other";
inline constexpr const char *longerPrefixFolder = "b/"; //!< Of the streams that Trouble::RoutePrefix concerns.

} // namespace oleandergate::streamsoak

#endif
