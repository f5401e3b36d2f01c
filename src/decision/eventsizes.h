#ifndef OLEANDERGATE_DECISION_EVENTSIZES_H
#define OLEANDERGATE_DECISION_EVENTSIZES_H

#include "decision/ids.h"
#include "decision/time.h"

#include <map>
#include <string>
#include <vector>

namespace oleandergate {

//! How many tokens an event of a service's streams may have. Endpoints may still write smaller ones, or not yet, for some time after a change of the
//! configuration; the fewest tokens count, as a stream is taken for complete with the events that hold all tokens which it may have. Not thread-safe.
class EventSizes
{
public:
    //! Events of \p service have another size from \p now on. The former one, \p size, counts for \p retention.
    void addFormer(const std::string &service, Tokens size, Duration retention, Time now);

    //! Returns the smallest size that events of \p service may have, of which \p present is the present one.
    Tokens smallest(const std::string &service, Tokens present, Time now) const;

private:
    struct Former
    {
        Tokens size = 0;
        Time lapsesAt{};
    };

    std::map<std::string, std::vector<Former>> formers; //!< By service.
};

} // namespace oleandergate

#endif
