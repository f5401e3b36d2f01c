#ifndef OLEANDERGATE_DECISION_STREAMHABITS_H
#define OLEANDERGATE_DECISION_STREAMHABITS_H

#include "decision/ids.h"
#include "decision/recentanswers.h"
#include "decision/runobservation.h"
#include "decision/serviceversion.h"
#include "decision/time.h"

#include <map>
#include <optional>
#include <string>

namespace oleandergate {

//! How the endpoints of each software version frame and number their streams, as far as this instance has seen lately.
//!
//! An unframed end and a gap look the same whether they are an endpoint's habit or its fault, and a further run at that endpoint may show them again.
//! What other streams of the same version look like tells them apart. Streams of one endpoint make no habit: it may have the same fault in each.
class StreamHabits
{
public:
    //! Learns from a run at an endpoint of \p group that ended in order between two events.
    void add(const ServiceVersion &group, const RunObservation &run, Time now);

    //! Another run brought events behind an unframed end of a run at \p endpoint.
    void addCut(const EndpointId &endpoint, Time now);

    //! The next events of a stream followed behind the length that \p endpoint had stated for it.
    void addShortLength(const EndpointId &endpoint, Time now);

    //! Returns whether lengths that \p endpoint states are doubtful: it has stated one lately that was too small.
    bool isLengthDoubtful(const EndpointId &endpoint, Time now) const;

    //! Returns whether an unframed end of a stream of \p endpoint is doubtful: more likely a cut, as its version frames its streams or the endpoint has
    //! cut some.
    bool isUnframedDoubtful(const ServiceVersion &group, const EndpointId &endpoint, Time now) const;

    //! Returns whether an unframed end of a stream of \p endpoint is usual: not doubtful, and other endpoints of its version end their streams so. With
    //! \p isOnlyEndpoint the version has no others.
    bool isUnframedUsual(const ServiceVersion &group, const EndpointId &endpoint, bool isOnlyEndpoint, Time now) const;

    //! Returns how many runs without an event have to agree that a stream of the version has ended, where nothing is framed. One is enough once unframed ends
    //! have been proved again and again and none was a cut: a cut may be followed by another one, of the run that is to confirm the end.
    std::uint32_t confirmationsNeeded(const ServiceVersion &group, Time now) const;

    //! Returns whether an endpoint other than \p endpoint, which has cut no streams lately, leaves some unframed.
    bool hasOtherUnframed(const ServiceVersion &group, const EndpointId &endpoint, Time now) const;

    //! Returns the text of the events without numbers with which whole streams of the version end, such as "data: [DONE]", if it is the same for the latest
    //! one of each endpoint; empty for none.
    std::string usualTail(const ServiceVersion &group, Time now) const;

    //! Returns whether the numbers of events of the latest streams all rose by one; no as long as too few were seen.
    bool numbersRiseByOne(const ServiceVersion &group, Time now) const;

    //! Returns whether the numbers of events of any of the latest streams did not rise by one within a run.
    bool numbersAreUneven(const ServiceVersion &group, Time now) const;

private:
    struct Tail
    {
        std::string text{};
        Time seenAt{};
    };

    struct Habit
    {
        RecentAnswers framed{};
        RecentAnswers risesByOne{};
        std::map<EndpointId, Time> unframedAt{}; //!< When streams of endpoints last ended in order, unframed.
        std::map<EndpointId, Time> wholeUnframedAt{}; //!< When an unframed end of endpoints was last proved to be that of the stream.
        std::map<EndpointId, Tail> tails{}; //!< Of the latest whole stream of each endpoint.
        std::uint32_t provedEnds = 0; //!< Unframed ends that were proved to be those of their streams, since the last cut.
        Time seenAt{};
    };

    Habit &habitOf(const ServiceVersion &group, Time now);

    //! Returns what was seen of \p group, or nullptr when that is nothing or too old.
    const Habit *find(const ServiceVersion &group, Time now) const;

    //! Returns whether \p endpoint has cut a stream lately.
    bool hasCut(const EndpointId &endpoint, Time now) const;

    //! Returns whether an endpoint other than \p endpoint, which has cut no streams lately, is among \p seen.
    bool hasOther(const std::map<EndpointId, Time> &seen, const EndpointId &endpoint, Time now) const;

    std::map<ServiceVersion, Habit> habits;
    std::map<EndpointId, Time> cutAt;
    std::map<EndpointId, Time> shortLengthAt;
};

} // namespace oleandergate

#endif
