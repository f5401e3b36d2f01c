#ifndef OLEANDERGATE_DECISION_ROUTETARGETLEDGER_H
#define OLEANDERGATE_DECISION_ROUTETARGETLEDGER_H

#include "decision/routetargets.h"

#include <cstdint>
#include <optional>

namespace oleandergate {

//! The targets of routes in a version of the configuration.
struct VersionedTargets
{
    std::uint64_t version = 0;
    RouteTargetMap routes{};
    bool hasUnresumable = true; //!< No for a record of an earlier build, which leaves out routes whose streams may not be resumed.
};

//! This instance's copy of the record that all instances share of the targets by which streams began: the present ones, and the former ones for as long as
//! streams that began by them may be taken up. Instances begin streams by targets that are in the record, so that one that has just started knows what changed
//! before. Not thread-safe.
class RouteTargetLedger
{
public:
    //! What an instance is to write, under the condition that the present targets still have the revision \ref expectedRevision.
    struct Change
    {
        std::uint64_t expectedRevision = 0;
        VersionedTargets present{};
        FormerTargets former{}; //!< To be stored for \ref retention; none if empty.
        Duration retention{};
    };

    //! The record was read and is empty, up to what setPresent() and addFormer() add.
    void reset();

    //! Sets the present targets, which the key-value service holds since its revision \p revision. Older revisions are ignored.
    void setPresent(VersionedTargets targets, std::uint64_t revision);

    //! Adds the former targets in the record called \p key. They count until dropFormer() is called with it, and for \p retention from the first time that
    //! they are added on, as the event that they ended may not arrive.
    void addFormer(const std::string &key, FormerTargets targets, Duration retention, Time now);
    void dropFormer(const std::string &key);

    //! Returns whether the record has been read, and whether it holds any present targets.
    bool isLoaded() const;
    bool isRead() const;

    //! Returns whether the present targets are \p targets, for streams that last as long. Streams may begin by them.
    bool holds(const VersionedTargets &targets) const;

    //! Returns whether the record is of the version of \p targets, and names all that these do, or of a newer one.
    bool isAsNewAs(const VersionedTargets &targets) const;

    //! Returns whether the record is of a later version than \p targets.
    bool isNewerThan(const VersionedTargets &targets) const;

    //! Returns the longest time for which streams last that may be resumed and may have begun by the present targets or by former ones.
    Duration longestResumableTimeout(Time now) const;

    //! Returns what to write so that the record holds \p targets, unless it is newer, and that streams may have begun by \p unrecorded, as this instance has
    //! begun some by them. Returns nothing when there is nothing to write, or the record has not been read.
    std::optional<Change> changeTo(const VersionedTargets &targets, const std::vector<VersionedTargets> &unrecorded) const;

    //! Adds to \p origins how streams with \p key and the path \p path, which matches \p route, may have begun by the record.
    void addOrigins(const Route &route, std::string_view path, std::string_view key, Time now, StreamOrigins &origins) const;

private:
    struct Former
    {
        FormerTargets targets{};
        Duration retention{}; //!< Of the record. Each route counts for its own timeout.
        Time lapsesAt{};
    };

    //! Adds to \p former the routes of \p change that may be resumed and may not have been, as the record leaves such routes out.
    void addLeftOut(const Change &change, FormerTargets &former) const;

    bool loaded = false;
    std::uint64_t revision = 0;
    VersionedTargets present;
    RouteTargetMap lastComplete; //!< Of the last record that left no routes out.
    std::map<std::string, Former> formers; //!< By the key of the record.
    std::map<std::string, Time> lapses; //!< The same, also of records that a reading no longer had.
};

} // namespace oleandergate

#endif
