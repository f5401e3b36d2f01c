#ifndef OLEANDERGATE_DECISION_VERSIONTABLE_H
#define OLEANDERGATE_DECISION_VERSIONTABLE_H

#include "decision/streamrecord.h"
#include "decision/versionbuckets.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace oleandergate {

//! Which software versions may have begun the streams of each service: the one to which the stream's bucket is assigned, and those to which it was
//! assigned not long ago.
class VersionTable
{
public:
    //! Sets the assignment of \p service, which the key-value service holds since its revision \p revision.
    void assign(const std::string &service, std::uint64_t revision, VersionBuckets buckets);

    //! Adds earlier assignments of some buckets of \p service. They count until dropEarlier() is called with the same \p key, or expireEarlier().
    void addEarlier(const std::string &key, const std::string &service, std::map<std::size_t, std::set<std::string>> versions, Time now);
    void dropEarlier(const std::string &key);

    //! Notes that some streams in \p buckets of \p service begin at another version than the assigned one, with a record each. Ends as an earlier
    //! assignment does.
    void addDiverted(const std::string &key, const std::string &service, std::map<std::size_t, std::set<std::string>> versions, Time now);

    //! Drops earlier assignments that were added before \p before: the event that they ended may have been lost.
    void expireEarlier(Time before);

    //! Returns the version to which \p bucket is assigned; nothing when the service has no assignment.
    std::optional<std::string> assigned(const std::string &service, std::size_t bucket) const;

    //! Returns the versions that may have begun a stream in \p bucket; none when the service has no assignment.
    std::set<std::string> candidates(const std::string &service, std::size_t bucket) const;

    //! Returns the version that began a stream in \p bucket, if there is no doubt. The assignment alone does not tell it while streams of the bucket
    //! are diverted, unless the stream is known to have no record.
    std::optional<std::string> resolve(const std::string &service, std::size_t bucket, const StreamRecord &record) const;

    //! Returns the version that began a stream in \p bucket, if there is no doubt and it is not known which attempt began it. \p recorded are the versions
    //! that the records of all attempts of its request name.
    std::optional<std::string> resolveUnnamed(const std::string &service, std::size_t bucket, const std::set<std::string> &recorded) const;

    //! Returns whether some streams in \p bucket may have begun at another version than their assigned one.
    bool mayBeDiverted(const std::string &service, std::size_t bucket) const;

    //! Returns the assignment of \p service, empty if there is none, and its revision, 0 if there is none.
    VersionBuckets bucketsOf(const std::string &service) const;
    std::uint64_t revisionOf(const std::string &service) const;

    //! Returns the highest revision of all assignments; 0 without any.
    std::uint64_t latestRevision() const;

private:
    struct Assignment
    {
        std::uint64_t revision = 0;
        VersionBuckets buckets{};
    };

    struct Earlier
    {
        bool diverted = false; //!< Of single streams, not of the assignment.
        std::string service{};
        std::map<std::size_t, std::set<std::string>> versions{}; //!< By bucket.
        Time addedAt{};
    };

    std::map<std::string, Assignment> assignments;
    std::map<std::string, Earlier> earlier; //!< By the key of its record.
};

} // namespace oleandergate

#endif
