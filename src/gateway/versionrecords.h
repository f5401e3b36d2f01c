#ifndef OLEANDERGATE_GATEWAY_VERSIONRECORDS_H
#define OLEANDERGATE_GATEWAY_VERSIONRECORDS_H

#include "backing/interfaces/keyvalueservice.h"
#include "decision/ids.h"
#include "decision/versiontable.h"

#include <optional>
#include <string>

namespace oleandergate {

//! Prefix of the keys of all assignments of buckets to software versions, present and earlier ones.
inline constexpr const char *versionRecordPrefix = "oleandergate/versions/";

//! An assignment of buckets to software versions, as stored in the key-value service.
struct VersionRecord
{
    std::string service{};
    bool earlier = false; //!< A former assignment, of the moved buckets only.
    bool diverted = false; //!< Versions other than the assigned one at which single streams of a bucket begin. Builds that do not know the field take
                           //!< the record for an earlier assignment, which makes them more careful.
    std::map<std::size_t, std::set<std::string>> versions{}; //!< By bucket; one a bucket unless \ref earlier is set.
};

//! Returns the key of the assignment of \p service.
std::string versionRecordKey(const std::string &service);

//! Returns the key for what the change of the assignment with the revision \p revision replaced.
std::string earlierRecordKey(const std::string &service, std::uint64_t revision);

//! Returns the key for the diverted streams of a bucket at \p version.
std::string divertedRecordKey(const std::string &service, std::size_t bucket, const std::string &version);

//! Returns the prefix of the keys that hold the software version of the stream that the attempt \p stream began.
std::string streamRecordPrefix(const std::string &stream);

//! Returns the key of the record number \p number of the stream that \p stream began. \p request is the fingerprint that all attempts of it share.
std::string streamRecordKey(const std::string &stream, std::uint32_t number, RequestFingerprint request);

//! Returns whether the record with the key \p key, which begins with streamRecordPrefix(), may be of a stream with the fingerprint \p request. Builds that
//! do not know the fingerprint leave it out.
bool isRecordOf(const std::string &key, RequestFingerprint request);

//! The same records by fingerprint, for take-ups that do not tell which attempt began the stream.
std::string requestRecordPrefix(RequestFingerprint request);
std::string requestRecordKey(RequestFingerprint request, const std::string &stream, std::uint32_t number);

//! Returns which versions the records of a request name, the latest one of each attempt. An empty one withdraws those of an attempt that brought no event.
std::set<std::string> versionsOfRequest(const KvRange &records);

//! Texts are JSON documents. Decoding returns nothing when a field is missing or invalid.
std::string encodeVersionRecord(const VersionRecord &record);
std::optional<VersionRecord> decodeVersionRecord(const std::string &text);

} // namespace oleandergate

#endif
