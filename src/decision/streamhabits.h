#ifndef OLEANDERGATE_DECISION_STREAMHABITS_H
#define OLEANDERGATE_DECISION_STREAMHABITS_H

#include "decision/ids.h"
#include "decision/recentanswers.h"
#include "decision/runobservation.h"
#include "decision/serviceversion.h"
#include "decision/time.h"

#include <map>
#include <optional>

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

    //! Returns whether an unframed end of a stream of \p endpoint is doubtful: more likely a cut, as its version frames its streams or the endpoint has
    //! cut some.
    bool isUnframedDoubtful(const ServiceVersion &group, const EndpointId &endpoint, Time now) const;

    //! Returns whether an unframed end of a stream of \p endpoint is usual: not doubtful, and other endpoints of its version end their streams so. With
    //! \p isOnlyEndpoint the version has no others.
    bool isUnframedUsual(const ServiceVersion &group, const EndpointId &endpoint, bool isOnlyEndpoint, Time now) const;

    //! Returns whether other endpoints of the version frame their streams, and none but \p endpoint leaves some unframed. Then its framed answer without an
    //! event does not confirm an unframed end of its own.
    bool isOnlyUnframed(const ServiceVersion &group, const EndpointId &endpoint, Time now) const;

    //! Returns whether the numbers of events of the latest streams all rose by one; no as long as too few were seen.
    bool numbersRiseByOne(const ServiceVersion &group, Time now) const;

    //! Returns whether the numbers of events of any of the latest streams did not rise by one within a run.
    bool numbersAreUneven(const ServiceVersion &group, Time now) const;

private:
    struct Habit
    {
        RecentAnswers framed{};
        RecentAnswers risesByOne{};
        std::optional<Time> wholeUnframedAt{};
        std::map<EndpointId, Time> framedAt{}; //!< When endpoints last framed a stream.
        std::map<EndpointId, Time> unframedAt{}; //!< When streams of endpoints last ended in order, unframed.
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
};

} // namespace oleandergate

#endif
