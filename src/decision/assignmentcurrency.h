#ifndef OLEANDERGATE_DECISION_ASSIGNMENTCURRENCY_H
#define OLEANDERGATE_DECISION_ASSIGNMENTCURRENCY_H

#include "decision/time.h"

#include <cstddef>
#include <cstdint>

namespace oleandergate {

//! Tells whether the assignments of software versions that an instance knows may still be in force, from when the key-value service last had no later ones.
//!
//! A watch that reports nothing is no sign that nothing has changed: the key-value service may fail for one instance alone. What a change replaced is known to
//! the others as a former assignment for \ref assignmentLifetime longer than a stream lasts, so streams may begin by assignments that were confirmed so long
//! ago at most. That peers are heard proves nothing, as they may know no more. So each states when its assignments were confirmed, by itself or by one that
//! told it, and the one whose confirmation grows old first asks the key-value service: one call serves all.
class AssignmentCurrency
{
public:
    //! Records the latest change that this instance knows, by its revision in the key-value service.
    void onKnown(std::uint64_t revision);

    //! Records that a peer knows the change with \p revision.
    void onStated(std::uint64_t revision);

    //! Records that the change with \p revision was the latest one when the key-value service was asked at \p askedAt, by whomever.
    void onConfirmed(std::uint64_t revision, Time askedAt);

    //! Returns when the latest known change was last confirmed; the epoch for never.
    Time confirmedAt() const;

    //! Returns whether this instance should ask the key-value service. Instances take turns by \p rank, the number of those that come before it.
    bool isConfirmationDue(std::size_t rank, Time now) const;

    //! Returns whether a peer knows a later change.
    bool isBehind() const;

    //! Returns whether streams may begin by the assignments. With \p isOutageForAll nobody reaches the key-value service, so that nobody changes them.
    bool isCurrent(bool isOutageForAll, Time now) const;

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
    Time confirmed{}; //!< See confirmedAt().
    Time statedAt{}; //!< When this instance last stated what it knows.
};

//! The time in which a change reaches all instances that are in step.
inline constexpr Duration assignmentLifetime = std::chrono::seconds(2);

} // namespace oleandergate

#endif
