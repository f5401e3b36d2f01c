#ifndef OLEANDERGATE_TESTS_SOAK_STOPPLAN_H
#define OLEANDERGATE_TESTS_SOAK_STOPPLAN_H

#include "decision/nametable.h"
#include "standinendpoint.h"
#include "support/loopbackproxy.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandergate::soak {

using Milliseconds = std::chrono::milliseconds;

//! How a caller sends a request and reads its answer.
enum class Style : std::uint8_t {
    AtOnce,
    SlowHead, //!< The head in parts with pauses.
    BodyInParts, //!< A body with a length, in parts with pauses.
    BodyInChunks, //!< A chunked body, with pauses between the chunks.
    Pipelined, //!< At once with the next one, on the same connection.
    SlowReader, //!< Reads a large answer slowly.
};

inline constexpr std::array styleNames{
    NamedValue<Style>{Style::AtOnce, "at-once"},
    NamedValue<Style>{Style::SlowHead, "slow-head"},
    NamedValue<Style>{Style::BodyInParts, "parts"},
    NamedValue<Style>{Style::BodyInChunks, "chunks"},
    NamedValue<Style>{Style::Pipelined, "pipelined"},
    NamedValue<Style>{Style::SlowReader, "slow-reader"},
};

enum class Kind : std::uint8_t {
    Read, //!< Safe.
    Order, //!< Unsafe.
    Turn, //!< A stream, which may be resumed.
};

inline constexpr std::array kindNames{
    NamedValue<Kind>{Kind::Read, "read"},
    NamedValue<Kind>{Kind::Order, "order"},
    NamedValue<Kind>{Kind::Turn, "turn"},
};

//! What endpoints do with some streams.
inline constexpr std::array faultNames{
    NamedValue<support::Behaviour>{support::Behaviour::EndBetweenEvents, "end-between-events"},
    NamedValue<support::Behaviour>{support::Behaviour::ResetBetweenEvents, "reset-between-events"},
    NamedValue<support::Behaviour>{support::Behaviour::EndMidEvent, "end-mid-event"},
    NamedValue<support::Behaviour>{support::Behaviour::BreakMidEvent, "break-mid-event"},
    NamedValue<support::Behaviour>{support::Behaviour::BreakBetweenEvents, "break-between-events"},
    NamedValue<support::Behaviour>{support::Behaviour::BreakUnnumbered, "break-unnumbered"},
    NamedValue<support::Behaviour>{support::Behaviour::BreakBehindUnnumbered, "break-behind-unnumbered"},
    NamedValue<support::Behaviour>{support::Behaviour::FromStart, "from-start"},
    NamedValue<support::Behaviour>{support::Behaviour::LeaveOutFourth, "leave-out"},
    NamedValue<support::Behaviour>{support::Behaviour::Repeat, "repeat"},
    NamedValue<support::Behaviour>{support::Behaviour::GoBack, "go-back"},
    NamedValue<support::Behaviour>{support::Behaviour::Unnumbered, "unnumbered"},
    NamedValue<support::Behaviour>{support::Behaviour::LateStream, "late-stream"},
    NamedValue<support::Behaviour>{support::Behaviour::LateUnnamedStream, "late-unnamed-stream"},
    NamedValue<support::Behaviour>{support::Behaviour::Unframed, "unframed"},
};

struct PlannedRequest
{
    std::string id{};
    Kind kind = Kind::Read;
    Style style = Style::AtOnce;
    Milliseconds limit{0}; //!< In its time limit header; zero for none.
    Milliseconds work{0}; //!< At the endpoint.
    Milliseconds gap{0}; //!< Between the events of a stream.
    support::Behaviour fault = support::Behaviour::Normal; //!< Of the endpoint of a stream.
    std::size_t answerBytes = 0;
    std::size_t bodyBytes = 0;
    std::size_t parts = 1;
    Milliseconds pause{0}; //!< Between its parts.
    Milliseconds pauseBefore{0};
    bool newConnection = false;

    bool hasBody() const;

    //! Returns whether its endpoint spoils the stream itself, so that it may be broken off.
    bool isSpoiled() const;
    std::string target() const;
    std::string body() const;

    //! Returns the bytes of the request, in the parts in which they are sent.
    std::vector<std::string> bytes() const;
};

struct PlannedCaller
{
    std::size_t gateway = 0;
    Milliseconds start{0}; //!< Relative to the SIGTERM of its gateway, or the first one of all if its own is not stopped.
    std::vector<PlannedRequest> requests{};
};

//! The planned stop of a gateway. Times are relative to its SIGTERM.
struct PlannedStop
{
    std::size_t gateway = 0;
    Milliseconds at{0}; //!< Relative to the start of the run.
    std::optional<Milliseconds> secondTerm{};
    std::optional<Milliseconds> reload{}; //!< SIGHUP.
    std::optional<Milliseconds> configuration{}; //!< A new configuration with other limits.
    std::optional<Milliseconds> freeze{};
    Milliseconds freezeTime{0};
    std::optional<Milliseconds> neighbourFreeze{}; //!< Of the first gateway that is not planned to stop.
    Milliseconds neighbourFreezeTime{0};
    Milliseconds restartPause{0};
};

//! All that happens in the run of one seed.
struct StopPlan
{
    std::uint64_t seed = 0;
    std::size_t gateways = 0;
    std::size_t endpoints = 0;
    std::chrono::seconds grace{0};
    std::optional<support::Link> cutLink{}; //!< State of the links of the first gateway to the endpoints.
    Milliseconds quietAfter{0}; //!< From this time after its gateway's SIGTERM on, a caller begins no request.
    int longPercent = 0; //!< Share of the requests that take seconds at their endpoints.
    int faultPercent = 0; //!< Share of the streams with a fault of their endpoint.
    std::vector<PlannedStop> stops{};
    std::vector<PlannedCaller> callers{};
};

//! Returns the plan for \p seed. \p gateways and \p grace are chosen by the seed when they are zero.
StopPlan makeStopPlan(std::uint64_t seed, std::size_t gateways, std::chrono::seconds grace);

//! Route timeout of all requests.
inline constexpr Milliseconds routeTimeout{8000};

} // namespace oleandergate::soak

#endif
