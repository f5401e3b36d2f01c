#ifndef OLEANDERGATE_DECISION_IGNOREDENTRIES_H
#define OLEANDERGATE_DECISION_IGNOREDENTRIES_H

#include "decision/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace oleandergate {

//! Decides which of the entries that cannot be read are logged: each change of one once while it is remembered, and only so many lines in an interval. When
//! no more can be remembered, all are forgotten with the next interval.
class IgnoredEntries
{
public:
    struct Limits
    {
        std::size_t keys = 0; //!< Entries that are remembered.
        std::size_t lines = 0; //!< In one interval.
        Duration interval{};
    };

    explicit IgnoredEntries(Limits limits);

    //! Returns whether the entry \p key, last changed at \p revision, is to be logged now. One that is left out is logged in a later interval.
    bool shouldLog(const std::string &key, std::uint64_t revision, Time now);

private:
    Limits limits;
    std::map<std::string, std::uint64_t> revisions; //!< Those that were logged, by key.
    Time intervalBegan{};
    std::size_t linesInInterval = 0;
};

} // namespace oleandergate

#endif
