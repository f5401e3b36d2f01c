#include "gateway/versionrecords.h"

#include "decision/hash.h"
#include "runtime/jsonaccess.h"

#include <boost/json.hpp>

#include <cstdlib>

namespace oleandergate {

namespace json = boost::json;

namespace {

constexpr const char *streamRecordsPrefix = "oleandergate/streams/";
constexpr int decimal = 10;
constexpr std::size_t recordDigits = 3; //!< Of the number in the key of a record of a stream.
constexpr const char *requestRecordsPrefix = "oleandergate/requests/";

//! Keys have a limited length, and names may hold any character.
std::string keyText(const std::string &name)
{
    return hashText(hashOf(name));
}

} // namespace

std::string versionRecordKey(const std::string &service)
{
    return versionRecordPrefix + keyText(service);
}

std::string earlierRecordKey(const std::string &service, std::uint64_t revision)
{
    return versionRecordKey(service) + "/before/" + std::to_string(revision);
}

std::string divertedRecordKey(const std::string &service, std::size_t bucket, const std::string &version)
{
    return versionRecordKey(service) + "/diverted/" + std::to_string(bucket) + "/" + keyText(version);
}

std::string streamRecordPrefix(const std::string &stream)
{
    return streamRecordsPrefix + keyText(stream) + "/";
}

std::string streamRecordKey(const std::string &stream, std::uint32_t number, RequestFingerprint request)
{
    // The latest one is the last in the order of keys.
    std::string digits = std::to_string(number);
    digits.insert(0, digits.size() < recordDigits ? recordDigits - digits.size() : 0, '0');
    return streamRecordPrefix(stream) + digits + "-" + hashText(request);
}

bool isRecordOf(const std::string &key, RequestFingerprint request)
{
    const std::size_t dash = key.rfind('-');
    return dash == std::string::npos || key.substr(dash + 1) == hashText(request);
}

std::string requestRecordPrefix(RequestFingerprint request)
{
    return requestRecordsPrefix + hashText(request) + "/";
}

std::string requestRecordKey(RequestFingerprint request, const std::string &stream, std::uint32_t number)
{
    return requestRecordPrefix(request) + keyText(stream) + "-" + std::to_string(number);
}

std::set<std::string> versionsOfRequest(const KvRange &records)
{
    std::map<std::string, std::pair<unsigned long, std::string>> latest;
    for (const KvPair &pair : records.pairs) {
        const std::size_t dash = pair.key.rfind('-');
        const unsigned long number = dash == std::string::npos ? 0 : std::strtoul(pair.key.c_str() + dash + 1, nullptr, decimal);
        std::pair<unsigned long, std::string> &known = latest[pair.key.substr(0, dash)];
        if (number >= known.first) {
            known = {number, pair.value};
        }
    }
    std::set<std::string> versions;
    for (const auto &[attempt, record] : latest) {
        if (!record.second.empty()) {
            versions.insert(record.second);
        }
    }
    return versions;
}

std::string encodeVersionRecord(const VersionRecord &record)
{
    std::map<std::string, json::array> bucketsByVersion;
    for (const auto &[bucket, versions] : record.versions) {
        for (const std::string &version : versions) {
            bucketsByVersion[version].push_back(bucket);
        }
    }
    json::object versions;
    for (auto &[version, buckets] : bucketsByVersion) {
        versions[version] = std::move(buckets);
    }
    return json::serialize(
        json::object{{"service", record.service}, {"earlier", record.earlier}, {"diverted", record.diverted}, {"versions", std::move(versions)}});
}

std::optional<VersionRecord> decodeVersionRecord(const std::string &text)
{
    const json::object object = parseJsonObject(text);
    VersionRecord record;
    record.service = jsonText(object, "service");
    record.earlier = jsonFlag(object, "earlier");
    record.diverted = jsonFlag(object, "diverted");
    const json::value *versions = object.if_contains("versions");
    if (record.service.empty() || versions == nullptr || !versions->is_object()) {
        return std::nullopt;
    }
    for (const auto &[version, buckets] : versions->get_object()) {
        if (!buckets.is_array()) {
            return std::nullopt;
        }
        for (const json::value &bucket : buckets.get_array()) {
            if (!bucket.is_int64() || bucket.get_int64() < 0 || bucket.get_int64() >= static_cast<std::int64_t>(versionBucketCount)) {
                return std::nullopt;
            }
            record.versions[static_cast<std::size_t>(bucket.get_int64())].insert(std::string(version));
        }
    }
    // Each bucket has one present version; a stream without one could not be resumed.
    const bool complete = record.versions.size() == versionBucketCount;
    return record.earlier || complete ? std::optional(std::move(record)) : std::nullopt;
}

} // namespace oleandergate
