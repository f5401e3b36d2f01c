#ifndef OLEANDERGATE_DECISION_ASSIGNMENTCURRENCY_H
#define OLEANDERGATE_DECISION_ASSIGNMENTCURRENCY_H

#include "decision/time.h"

#include <cstddef>
#include <cstdint>

namespace oleandergate {

//! Tells whether the assignments of software versions that an instance knows may still be in force, from their age and from what its peers state of theirs.
//!
//! A watch that reports nothing is no sign that nothing has changed: the key-value service may fail for one instance alone. What a change replaced is known to
//! the others as a former assignment for \ref assignmentLifetime longer than a stream lasts, so streams may begin by assignments of that age at most.
class AssignmentCurrency
{
public:
    //! Records the latest change that this instance knows, by its revision in the key-value service.
    void onKnown(std::uint64_t revision);

    //! Records that a peer knows the change with \p revision.
    void onStated(std::uint64_t revision);

    //! Returns whether a peer knows a later change.
    bool isBehind() const;

    //! Returns whether streams may begin by the assignments. They were last read, or received from a peer, at \p confirmedAt. With \p isInStep this instance
    //! has heard of its peers all the time, and knows the changes that they know.
    bool isCurrent(Time confirmedAt, bool isInStep, Time now) const;

    std::uint64_t knownRevision() const;

    //! Returns whether to state the known revision in the next report to the peers. A change is stated several times, as reports may be lost.
    bool isStatementDue(Time now) const;

    //! Returns whether a change has not been stated yet.
    bool hasNews() const;
    void onStatementSent(Time now);

private:
    std::uint64_t known = 0;
    std::uint64_t stated = 0; //!< By the peers, the latest one.
    std::size_t statementsLeft = 0;
    bool isUrgent = false;
    Time statedAt{}; //!< When this instance last stated what it knows.
};

//! The time in which a change reaches all instances that are in step.
inline constexpr Duration assignmentLifetime = std::chrono::seconds(2);

} // namespace oleandergate

#endif
