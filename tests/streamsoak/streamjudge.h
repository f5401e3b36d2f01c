#ifndef OLEANDERGATE_TESTS_STREAMSOAK_STREAMJUDGE_H
#define OLEANDERGATE_TESTS_STREAMSOAK_STREAMJUDGE_H

#include "standinendpoint.h"
#include "streamcaller.h"

#include <map>
#include <string>
#include <vector>

namespace oleandergate::streamsoak {

//! What an endpoint received of an attempt.
struct SeenRun
{
    std::string endpoint{};
    std::string version{};
    support::ReceivedRequest received{};
};

//! A trouble as it was played.
struct SeenTrouble
{
    PlannedTrouble planned{};
    Time at{};
};

struct TimeSpan
{
    Time from{};
    Time to{};
};

//! All that was seen in a run.
struct Seen
{
    Time beganAt{};
    std::vector<SeenStream> streams{};
    std::map<std::string, std::vector<SeenRun>> runs{}; //!< By attempt.
    std::vector<SeenTrouble> troubles{};
    std::vector<TimeSpan> unresumable{}; //!< When Route::Query might not be resumed.
    std::vector<TimeSpan> plain{}; //!< When it was no route for streams: answers were passed on as their endpoint wrote them.
    std::vector<std::string> processFaults{};
};

enum class Breach : std::uint8_t {
    Order, //!< A piece behind a later one.
    Gap,
    Twice,
    Versions, //!< Pieces of two software versions.
    Services, //!< Pieces of two services.
    Early, //!< Complete before its last piece.
    Foreign, //!< An answer, or pieces, of another request.
    Promise, //!< A status that promises that it did not run, and an endpoint received it.
    // docs/LIMITATIONS.md lists these, and they fail no seed.
    EarlyUnnumbered, //!< Early, without framing, and its events have no numbers.
    EarlySingle, //!< Early, without framing, on a route that may not be resumed.
    EarlyAgreed, //!< Early, and its endpoint cut the confirming answer behind its head too.
};

inline constexpr std::array breachNames{
    NamedValue<Breach>{Breach::Order, "order"},
    NamedValue<Breach>{Breach::Gap, "gap"},
    NamedValue<Breach>{Breach::Twice, "twice"},
    NamedValue<Breach>{Breach::Versions, "versions"},
    NamedValue<Breach>{Breach::Services, "services"},
    NamedValue<Breach>{Breach::Early, "early"},
    NamedValue<Breach>{Breach::Foreign, "foreign"},
    NamedValue<Breach>{Breach::Promise, "promise"},
    NamedValue<Breach>{Breach::EarlyUnnumbered, "listed-unnumbered"},
    NamedValue<Breach>{Breach::EarlySingle, "listed-single"},
    NamedValue<Breach>{Breach::EarlyAgreed, "listed-agreed"},
};

constexpr bool isListed(Breach breach)
{
    return breach >= Breach::EarlyUnnumbered;
}

//! A breach by one stream.
struct Case
{
    Breach breach = Breach::Order;
    const SeenStream *stream = nullptr;
};

//! Judges by what callers got over all attempts of each stream.
class StreamJudge
{
public:
    explicit StreamJudge(const Seen &seen);

    std::vector<Case> cases{}; //!< At most one of each kind for a stream.
    std::map<Breach, std::size_t> counts{};
    std::size_t whole = 0;
    std::size_t takenUp = 0; //!< Streams with an attempt behind an event.
    std::size_t broken = 0; //!< Given up by their callers after errors.

    //! Returns whether a breach fails the seed.
    bool hasFailed() const;

private:
    void judge(const SeenStream &stream);
    void judgeEarlyEnd(const SeenStream &stream);
    void add(Breach breach, const SeenStream &stream);

    //! Returns whether \p attempt may have had a plain answer. What its endpoint repeats or leaves out belongs to that.
    bool isPlain(const SeenStream &stream, const Attempt &attempt) const;

    //! Returns whether the stream of \p attempt might not be resumed: nobody could be asked for the rest of it.
    bool isSingle(const SeenStream &stream, const Attempt &attempt) const;
    const std::vector<SeenRun> &runsOf(const Attempt &attempt) const;

    const Seen &seen;
};

} // namespace oleandergate::streamsoak

#endif
