#ifndef OLEANDERGATE_DECISION_STREAMCONTINUITY_H
#define OLEANDERGATE_DECISION_STREAMCONTINUITY_H

#include "decision/nametable.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oleandergate {

//! What is known of a claim, such as that a stream is complete.
enum class Evidence : std::uint8_t {
    Proved,
    Disproved,
    Unknown,
};

inline constexpr std::array<NamedValue<Evidence>, 3> evidenceNames{{
    {Evidence::Proved, "proved"},
    {Evidence::Disproved, "disproved"},
    {Evidence::Unknown, "unknown"},
}};

//! Where an event of a run stands in its stream.
enum class EventPosition : std::uint8_t {
    Next, //!< Behind the last event that was passed on.
    Repeated, //!< Its number is not above that of the last event: it comes twice, or belongs to a run that did not go on where it was asked to.
    BehindGap, //!< Numbers are missing in front of it, though the stream's numbers rose by one until then.
    Held, //!< Numbers are missing in front of it, as in an earlier run. The next event tells whether both are passed on.
    Unplaced, //!< It has no number, in a run that has to go on behind another one.
};

inline constexpr std::array<NamedValue<EventPosition>, 5> eventPositionNames{{
    {EventPosition::Next, "next"},
    {EventPosition::Repeated, "repeated"},
    {EventPosition::BehindGap, "behind-gap"},
    {EventPosition::Held, "held"},
    {EventPosition::Unplaced, "unplaced"},
}};

//! How the bytes of a run ended.
struct StreamEnd
{
    bool betweenEvents = false; //!< No part of an unfinished event is left.
    bool framed = false; //!< The answer's length or its last chunk ended it; otherwise the end of its connection, in order.
    bool endpointEnded = false; //!< The endpoint accepts no connections any more.
    std::string_view tail{}; //!< Events without numbers, all that a run brought that goes on behind another one.
    bool isContinued = false; //!< The next event follows behind the end that its framing states.
    bool isDoubtful = false; //!< Not framed, though its version frames its streams or its endpoint has cut or broken some. It confirms no earlier end.
};

//! Decides which events belong to a caller's stream, over all runs that contribute to it, and whether it is complete.
//!
//! The numbers of events rise. That they rise by one is not promised, so a gap counts only where a run goes on behind another one, or behind numbers that did.
//! A second run that shows the same gap disproves it only with evidence that runs behind a break don't give, as each of them may leave the same event out: a
//! first run that has shown it, whole streams with uneven numbers, or numbers that are uneven behind it, too.
class StreamContinuity
{
public:
    StreamContinuity() = default;

    //! The caller has the events up to number \p resumeAfter of an interrupted stream. A stream of \p maxEvents events is complete; 0 when not known.
    StreamContinuity(std::optional<std::uint64_t> resumeAfter, std::uint64_t maxEvents);

    //! A run begins, which was asked to go on behind lastNumber().
    void beginRun();

    //! Sets whether the numbers of whole streams of the run's software version rise by one. Then a gap that only runs behind a break show is a missing event,
    //! however many do.
    void expectUnitSteps(bool expected);

    //! Sets how many runs without an event and without framing have to agree that the stream has ended; 1 unless stated.
    void expectConfirmations(std::uint32_t count);

    //! Sets the text of the events without numbers with which whole streams of the run's software version end; empty for none.
    void expectTail(std::string text);

    //! Returns whether \p text, all that the run has brought so far, may be the end of the stream: the events without numbers that are expected there, or the
    //! first of them, in a run that goes on behind another one of this answer. It is to be passed on only once the run has ended and proved it.
    bool mayEndWith(std::string_view text) const;

    //! Sets whether the numbers of whole streams of the run's software version are uneven, now and then at least.
    void expectUnevenSteps(bool expected);

    //! Decides about the next event with data of the run. An event with EventPosition::Held is passed on together with the next one, if that is
    //! EventPosition::Next. Any other position is not to be passed on, nor anything behind it.
    EventPosition add(std::optional<std::uint64_t> number);

    //! Notes that a run brought bytes of a further event that was not passed on. No run that brings no event proves the stream complete from then on.
    void showFurtherEvent();

    //! Ends the run. Returns whether the stream is complete.
    Evidence endRun(const StreamEnd &end);

    //! Returns whether the run that brought the last event ended in order behind it, which neither proves nor disproves that the stream is complete.
    bool endsUnproven() const;

    //! Returns whether the last event of the run is held, so that its end does not tell whether an event is missing.
    bool isHolding() const;

    //! Returns whether the numbers rise by one: no where those within a run did not, yes for a stream of one run.
    std::optional<bool> stepsByOne() const;

    //! Returns whether another run can go on with the stream: the position of the last event that was passed on is known.
    bool canContinue() const;

    //! Returns the number of the last event that the caller has.
    std::optional<std::uint64_t> lastNumber() const;

    //! Returns the number of events that were passed on, and of those of the run.
    std::uint64_t passedOn() const;
    std::uint64_t passedOnInRun() const;

private:
    bool isBehindGap(std::uint64_t number) const;

    //! Decides about an event whose number is above that of the last one.
    EventPosition placeBehindGap(std::uint64_t number);

    //! Decides about an event behind the held one.
    EventPosition placeBehindHeld(std::optional<std::uint64_t> number);

    //! Notes an event with \p number that was not passed on.
    void showFurtherNumber(std::uint64_t number);

    //! Counts an event that is passed on.
    void pass(std::optional<std::uint64_t> number);

    std::string expectedTail;
    std::optional<std::uint64_t> last; //!< Number of the last event that has one.
    std::uint64_t maxEvents = 0;
    std::uint64_t total = 0;
    std::uint64_t runTotal = 0;
    std::uint64_t unitSteps = 0; //!< Pairs of events in a row whose numbers differ by one.
    std::uint64_t unnumbered = 0; //!< Events since the last numbered one.
    bool risesByOne = true;
    bool isUneven = false; //!< Numbers in a row of one run differed by more than one.
    bool expectsUnitSteps = false;
    bool expectsUnevenSteps = false;
    bool goesOn = false; //!< The run has to go on behind events that the caller has.
    std::uint32_t confirmationsNeeded = 1;
    std::uint32_t confirmations = 0; //!< Runs without an event that ended in order, unframed, since the last event.
    bool unprovenEnd = false; //!< The run that brought the last event ended in order behind it, which does not prove that the stream is complete.
    std::optional<std::uint64_t> afterGap; //!< Number behind a gap that a run has shown.
    bool isGapOfFurtherRun = false; //!< The first run that showed it went on behind another one.
    std::optional<std::uint64_t> held; //!< Number of the event that is held.
    bool hasFurtherEvent = false; //!< A run has shown an event behind the last one that was passed on.
    std::optional<std::uint64_t> furtherNumber; //!< The largest number of such an event, if it was seen.
};

} // namespace oleandergate

#endif
