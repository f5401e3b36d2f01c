//! Streams that are taken up while endpoints of two software versions serve, after all instances lost power.

#include "decision/versiontable.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace oleandergate;

namespace {

constexpr const char *service = "engine";
constexpr double stepSeconds = 0.005;
constexpr double retentionSeconds = 6.0; //!< Lifetime of leased records; streams end sooner.
constexpr double recordSeconds = 0.01; //!< Until a record is stored.

const StreamRecord noRecord{RecordState::Absent, {}};
const StreamRecord unknownRecord{};

//! What the key-value service holds.
struct Store
{
    struct Earlier
    {
        double endsAt = 0.0;
        std::map<std::size_t, std::set<std::string>> versions{};
    };

    struct Record
    {
        std::string version{};
        double storedAt = 0.0;
    };

    //! Returns the table of an instance that reads everything at \p time.
    VersionTable read(double time) const
    {
        VersionTable table;
        table.assign(service, this->revision, this->buckets);
        for (const auto &[key, former] : this->earlier) {
            if (former.endsAt > time) {
                table.addEarlier(key, service, former.versions, Time{});
            }
        }
        return table;
    }

    std::uint64_t revision = 1;
    VersionBuckets buckets{};
    std::map<std::string, Earlier> earlier{};
    std::map<std::size_t, Record> records{}; //!< By number of the stream.
};

struct Stream
{
    std::size_t number = 0;
    std::size_t instance = 0;
    std::size_t bucket = 0;
    std::string version{};
    double endsAt = 0.0;
    bool recorded = false;
};

struct TakeUps
{
    std::size_t known = 0;
    std::size_t wrong = 0;
    std::size_t all = 0;
};

//! A service whose endpoints change from v1 to v2 one by one, from 2 s to 6 s.
class RollOut
{
public:
    RollOut(std::size_t instanceCount, double streamsPerSecond, std::uint64_t seed)
        : streamsPerSecond(streamsPerSecond)
        , random(seed)
        , tables(instanceCount)
        , knownFrom(instanceCount, 0.0)
    {
        this->store.buckets = planVersionBuckets({}, {{"v1", endpointCount}});
    }

    //! Plays until \p powerLoss, when all instances stop at once, and lets callers take their streams up after \p away seconds.
    TakeUps play(double powerLoss, double away)
    {
        for (double time = 0.0; time < powerLoss; time += stepSeconds) {
            this->step(time);
        }
        TakeUps takeUps;
        const VersionTable table = this->store.read(powerLoss + away);
        for (const Stream &stream : this->streams) {
            const auto record = this->store.records.find(stream.number);
            const bool stored = record != this->store.records.end() && record->second.storedAt <= powerLoss;
            const std::optional<std::string> version
                = table.resolve(service, stream.bucket, stored ? StreamRecord{RecordState::Found, record->second.version} : noRecord);
            takeUps.all += 1;
            takeUps.known += version ? 1 : 0;
            takeUps.wrong += version && *version != stream.version ? 1 : 0;
        }
        return takeUps;
    }

    //! Returns how many streams went on at another version if each were placed at any endpoint, as builds up to fa3c9b6 did.
    std::size_t wrongAtAnyEndpoint(double powerLoss, double away)
    {
        std::size_t wrong = 0;
        std::uniform_real_distribution<double> unit(0.0, 1.0);
        for (const Stream &stream : this->streams) {
            const bool newer = unit(this->random) * endpointCount < newerEndpoints(powerLoss + away);
            wrong += (newer ? "v2" : "v1") != stream.version ? 1 : 0;
        }
        return wrong;
    }

private:
    static constexpr std::uint32_t endpointCount = 10;

    static std::uint32_t newerEndpoints(double time)
    {
        return static_cast<std::uint32_t>(std::clamp(std::floor((time - 2.0) / 0.4) + 1.0, 0.0, static_cast<double>(endpointCount)));
    }

    void step(double time)
    {
        std::erase_if(this->streams, [time](const Stream &stream) {
            return stream.endsAt <= time;
        });
        this->move(time);
        std::uniform_real_distribution<double> unit(0.0, 1.0);
        for (std::size_t instance = 0; instance < this->tables.size(); ++instance) {
            if (this->store.revision != this->tables[instance].revisionOf(service) && time >= this->knownFrom[instance]) {
                this->tables[instance] = this->store.read(time);
            }
        }
        std::poisson_distribution<int> arrivals(this->streamsPerSecond * stepSeconds);
        for (int count = arrivals(this->random); count > 0; --count) {
            Stream stream;
            stream.number = this->count++;
            stream.instance = this->random() % this->tables.size();
            stream.bucket = this->random() % versionBucketCount;
            stream.version = this->tables[stream.instance].assigned(service, stream.bucket).value_or("v1");
            stream.endsAt = time + 0.2 + 1.5 * unit(this->random);
            this->streams.push_back(stream);
        }
        for (Stream &stream : this->streams) {
            if (!stream.recorded && this->tables[stream.instance].candidates(service, stream.bucket).size() > 1) {
                this->store.records[stream.number] = Store::Record{stream.version, time + recordSeconds};
                stream.recorded = true;
            }
        }
    }

    void move(double time)
    {
        const std::map<std::string, std::uint32_t> slots{{"v1", endpointCount - newerEndpoints(time)}, {"v2", newerEndpoints(time)}};
        const VersionBuckets planned = planVersionBuckets(this->store.buckets, slots);
        if (!isVersionMoveDue(this->store.buckets, planned, slots, std::chrono::microseconds(std::llround((time - this->movedAt) * 1e6)))) {
            return;
        }
        Store::Earlier former{time + retentionSeconds, {}};
        for (std::size_t bucket = 0; bucket < versionBucketCount; ++bucket) {
            if (planned[bucket] != this->store.buckets[bucket]) {
                former.versions[bucket] = {this->store.buckets[bucket]};
            }
        }
        this->store.earlier["before/" + std::to_string(this->store.revision)] = former;
        this->store.buckets = planned;
        this->store.revision += 1;
        this->movedAt = time;
        std::uniform_real_distribution<double> delay(0.002, 0.03);
        for (double &known : this->knownFrom) {
            known = time + delay(this->random);
        }
    }

    double streamsPerSecond;
    std::mt19937_64 random;
    Store store{};
    std::vector<VersionTable> tables;
    std::vector<double> knownFrom; //!< When each instance learns of the latest change.
    std::vector<Stream> streams{};
    std::size_t count = 0;
    double movedAt = -10.0;
};

} // namespace

// Guards against streams joined from two software versions after all instances lost power in a roll-out.
TEST_CASE("Streams that are taken up after all instances lost power in a roll-out go on at their version, and nearly all are known")
{
    struct Size
    {
        std::size_t instances = 0;
        double streamsPerSecond = 0.0;
    };
    for (const Size &size : {Size{8, 130.0}, Size{58, 310.0}, Size{420, 800.0}}) {
        TakeUps total;
        std::size_t wrongAtAnyEndpoint = 0;
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            for (const double powerLoss : {1.5, 2.6, 3.337, 4.9, 6.5, 9.0}) {
                RollOut rollOut(size.instances, size.streamsPerSecond, seed);
                const TakeUps takeUps = rollOut.play(powerLoss, 1.5);
                total.all += takeUps.all;
                total.known += takeUps.known;
                total.wrong += takeUps.wrong;
                wrongAtAnyEndpoint += rollOut.wrongAtAnyEndpoint(powerLoss, 1.5);
            }
        }
        CHECK(total.wrong == 0);
        CHECK(static_cast<double>(total.known) >= 0.95 * static_cast<double>(total.all));
        CHECK(wrongAtAnyEndpoint > 2);
    }
}

TEST_CASE("A record of a stream goes before its bucket, and a moved bucket without a record leaves its version open")
{
    VersionTable table;
    CHECK_FALSE(table.resolve(service, 3, noRecord));
    table.assign(service, 1, VersionBuckets(versionBucketCount, "v2"));
    CHECK(table.resolve(service, 3, noRecord) == std::optional<std::string>("v2"));
    const Time added(std::chrono::seconds(5));
    table.addEarlier("k", service, {{3, {"v1"}}}, added);
    CHECK_FALSE(table.resolve(service, 3, noRecord));
    CHECK(table.resolve(service, 3, StreamRecord{RecordState::Found, "v1"}) == std::optional<std::string>("v1"));
    CHECK(table.resolve(service, 4, noRecord) == std::optional<std::string>("v2"));
    CHECK_FALSE(table.resolve("other", 4, noRecord));
    table.dropEarlier("k");
    CHECK(table.resolve(service, 3, noRecord) == std::optional<std::string>("v2"));
    table.addEarlier("k", service, {{3, {"v1"}}}, added);
    table.expireEarlier(added);
    CHECK_FALSE(table.resolve(service, 3, noRecord));
    table.expireEarlier(added + Duration(1));
    CHECK(table.resolve(service, 3, noRecord) == std::optional<std::string>("v2"));
}

// Guards against streams joined from two software versions in an outage of the key-value service, when "no answer" is taken for "no record".
TEST_CASE("While streams of a bucket are diverted, its assignment tells their version only if they are known to have no record")
{
    VersionTable table;
    table.assign(service, 1, VersionBuckets(versionBucketCount, "v2"));
    CHECK(table.resolve(service, 3, unknownRecord) == std::optional<std::string>("v2"));
    const Time added(std::chrono::seconds(5));
    table.addDiverted("d", service, {{3, {"v1"}}}, added);
    CHECK_FALSE(table.resolve(service, 3, unknownRecord));
    CHECK(table.resolve(service, 3, noRecord) == std::optional<std::string>("v2"));
    CHECK(table.resolve(service, 3, StreamRecord{RecordState::Found, "v1"}) == std::optional<std::string>("v1"));
    CHECK(table.resolve(service, 4, unknownRecord) == std::optional<std::string>("v2"));
    // Only single streams are diverted: the others of the bucket need no records.
    CHECK(table.candidates(service, 3) == std::set<std::string>{"v2"});
    table.expireEarlier(added + Duration(1));
    CHECK(table.resolve(service, 3, unknownRecord) == std::optional<std::string>("v2"));
}

// Guards against streams joined from two software versions where the caller does not tell which attempt began its stream.
TEST_CASE("Without the attempt that began a stream, the records of its request and its bucket have to agree on one version")
{
    VersionTable table;
    CHECK_FALSE(table.resolveUnnamed(service, 3, {}));
    table.assign(service, 1, VersionBuckets(versionBucketCount, "v2"));
    CHECK(table.resolveUnnamed(service, 3, {}) == std::optional<std::string>("v2"));
    CHECK(table.resolveUnnamed(service, 3, {"v2"}) == std::optional<std::string>("v2"));
    // Another attempt of the request began elsewhere than assigned; one at the assigned version has no record.
    CHECK_FALSE(table.resolveUnnamed(service, 3, {"v1"}));
    table.addEarlier("k", service, {{3, {"v1"}}}, Time(std::chrono::seconds(5)));
    CHECK_FALSE(table.resolveUnnamed(service, 3, {}));
    CHECK(table.resolveUnnamed(service, 3, {"v1"}) == std::optional<std::string>("v1"));
    CHECK_FALSE(table.resolveUnnamed(service, 3, {"v1", "v2"}));
}
