#include "gateway/streamversions.h"

#include "decision/hash.h"
#include "gateway/assignmentnews.h"
#include "gateway/gatewayconfigurationholder.h"
#include "gateway/milliseconds.h"
#include "gateway/peergossip.h"
#include "gateway/poolset.h"
#include "gateway/routetargetrecords.h"
#include "gateway/streamnews.h"
#include "runtime/asyncsignal.h"
#include "runtime/backgroundtask.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! Added to the longest timeout of a route: the time in which a change reaches all instances.
constexpr Duration changeDelay = assignmentLifetime;
constexpr Duration minRetention = std::chrono::seconds(6);

//! How long a request waits for the key-value service. A resumption has little time left.
constexpr Duration serviceTimeout = std::chrono::milliseconds(250);
constexpr Duration pollInterval = std::chrono::milliseconds(10);

//! Delay before records that could not be stored are written again.
constexpr Duration recordRetryDelay = std::chrono::milliseconds(500);

//! Added to the lease of a former assignment: the time in which a change is written once the lease is granted, and by which reports of confirmations may be
//! older than they say.
constexpr Duration leaseMargin = std::chrono::milliseconds(1000);

constexpr Duration proposeInterval = std::chrono::milliseconds(100);
constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr Duration proposeRetryDelay = std::chrono::milliseconds(500);

//! Instances that propose changes take turns, as all would propose the same one.
constexpr std::size_t proposerCount = 3;
constexpr Duration proposerDelay = std::chrono::milliseconds(300);

//! An instance that has not seen a due change for this long rereads the assignments, as a watch may stop delivering events.
constexpr Duration unseenChangeDelay = std::chrono::milliseconds(800);
constexpr int unseenChangeJitterMs = 400;

//! Entries of a transaction that the key-value service accepts.
constexpr std::size_t maxBatch = 32;

//! A longer time between two steps of a coroutine that sleeps for proposeInterval means that the process stood still.
constexpr Duration standstillThreshold = std::chrono::milliseconds(500);

//! How long after that an instance may not have the configuration yet that is in force by then.
constexpr Duration settlingTime = std::chrono::milliseconds(1000);

//! Reports that waited for a delayed process have been received after this time.
constexpr Duration drainTime = std::chrono::milliseconds(200);

//! An instance that reached the key-value service within this time shows that it is not down for all.
constexpr Duration serviceContactThreshold = std::chrono::milliseconds(1500);

//! How often an instance whose key-value service fails asks it to confirm the assignments.
constexpr Duration confirmationRetryDelay = std::chrono::milliseconds(1000);

std::string joined(const std::set<std::string> &versions)
{
    return boost::algorithm::join(versions, ",");
}

} // namespace

StreamVersions::StreamVersions(const Parts &parts, InstanceId self)
    : parts(parts)
    , self(std::move(self))
    , follower(parts.service,
               versionRecordPrefix,
               PrefixFollower::Hooks{[this](const KvRange &range) {
                                         this->load(range);
                                     },
                                     [this](const KvEvent &event) {
                                         this->apply(event);
                                     }})
    , recordsStored(parts.metrics.counter("oleandergate_stream_records_total", "result=\"stored\""))
    , recordsFailed(parts.metrics.counter("oleandergate_stream_records_total", "result=\"failed\""))
    , unknownVersions(parts.metrics.counter("oleandergate_unknown_versions_total"))
    , foundVersions(parts.metrics.counters("oleandergate_found_versions_total", "source", versionSourceNames))
    , random(hashOf(this->self))
    , retention(minRetention)
{
}

void StreamVersions::start()
{
    this->parts.targets.setReread([this]() -> asio::awaitable<void> {
        co_await this->follower.load();
    });
    this->parts.news.setPauseCheck([this](Time now) {
        const Time ticked = this->tickedAt;
        return now - ticked > longestUnnoticedPause || now - this->delayedAt.load() < drainTime;
    });
    spawnLoop(this->parts.context.get_executor(), "stream versions", [this]() {
        return this->follower.run();
    });
    spawnLoop(this->parts.context.get_executor(), "stream version ticks", [this]() {
        return this->tickLoop();
    });
    spawnLoop(this->parts.context.get_executor(), "stream version proposals", [this]() {
        return this->proposeLoop();
    });
}

bool StreamVersions::put(const KvPair &pair, const VersionTable &before)
{
    if (RouteTargetRecords::isRecordKey(pair.key)) {
        return false;
    }
    this->records[pair.key] = pair;
    const std::optional<VersionRecord> record = decodeVersionRecord(pair.value);
    if (!record) {
        logRecord(LogLevel::Error, "versions", "ignored an invalid record", {{"key", pair.key}, {"revision", std::to_string(pair.revision)}});
        return false;
    }
    if (record->diverted) {
        this->table.addDiverted(pair.key, record->service, record->versions, currentTime());
        return true;
    }
    if (record->earlier) {
        this->table.addEarlier(pair.key, record->service, record->versions, currentTime());
        return false;
    }
    VersionBuckets buckets;
    std::map<std::string, std::size_t> counts;
    for (const auto &[bucket, versions] : record->versions) {
        buckets.push_back(*versions.begin());
        counts[*versions.begin()] += 1;
    }
    const bool changed = before.revisionOf(record->service) != pair.revision;
    this->table.assign(record->service, pair.revision, std::move(buckets));
    if (!changed) {
        return false;
    }
    this->movedAt[record->service] = currentTime();
    this->parts.news.onKnown(pair.revision);
    std::string shares;
    for (const auto &[version, count] : counts) {
        shares += (shares.empty() ? "" : ",") + version + ":" + std::to_string(count);
    }
    logRecord(LogLevel::Info, "versions", "assigned", {{"service", record->service}, {"buckets", shares}, {"revision", std::to_string(pair.revision)}});
    return false;
}

void StreamVersions::load(const KvRange &range)
{
    this->parts.targets.load(range);
    {
        const std::lock_guard lock(this->mutex);
        this->loaded = true;
        if (this->handedRevision && range.revision < *this->handedRevision) {
            // A peer has sent later ones while these were read.
            return;
        }
        const VersionTable before = std::exchange(this->table, VersionTable());
        this->records.clear();
        for (const KvPair &pair : range.pairs) {
            this->put(pair, before);
        }
    }
    this->recordMoved();
}

void StreamVersions::apply(const KvEvent &event)
{
    if (RouteTargetRecords::isRecordKey(event.pair.key)) {
        this->parts.targets.apply(event);
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        if (this->handedRevision && event.pair.revision <= *this->handedRevision) {
            return;
        }
        if (event.deleted) {
            // Only records of earlier assignments and of diverted streams are ever deleted, when their lease ends.
            this->table.dropEarlier(event.pair.key);
            this->records.erase(event.pair.key);
            this->markedAt.erase(event.pair.key);
            return;
        }
        if (this->put(event.pair, this->table)) {
            // An event shows that the mark was just written; one that load() finds may be old.
            this->markedAt[event.pair.key] = currentTime();
        }
    }
    this->recordMoved();
}

bool StreamVersions::isKnown() const
{
    return this->loaded || this->handedRevision;
}

bool StreamVersions::isCurrent(Time now) const
{
    return this->isKnown() && this->parts.news.isCurrent(this->isOutageForAll(now), now);
}

std::uint64_t StreamVersions::seenRevision() const
{
    return std::max(this->loaded ? this->follower.seenRevision() : 0, this->handedRevision.value_or(0));
}

std::optional<std::string> StreamVersions::assignedVersion(const StreamIdentity &stream) const
{
    const std::lock_guard lock(this->mutex);
    return this->table.assigned(stream.service, stream.bucket);
}

bool StreamVersions::needsRecord(const StreamIdentity &stream, const std::string &version, Time now) const
{
    {
        const std::lock_guard lock(this->mutex);
        const auto known = this->streams.find(keyOf(stream));
        const bool isRecordedOtherwise = known != this->streams.end() && known->second.records > 0 && known->second.version != version;
        if (isRecordedOtherwise || !this->isCurrent(now)) {
            return true;
        }
        const std::optional<std::string> assigned = this->table.assigned(stream.service, stream.bucket);
        if (assigned) {
            // A former version is told by the bucket no longer than its lease lasts.
            return *assigned != version;
        }
    }
    // The first assignment states that all versions listed by then may have begun streams.
    return this->listedVersions(stream.service).size() > 1;
}

std::set<std::string> StreamVersions::listedVersions(const std::string &service) const
{
    std::set<std::string> versions;
    for (const auto &[version, slots] : this->parts.pools.slotsByVersion(service)) {
        versions.insert(version);
    }
    return versions;
}

StreamVersions::KnownStream &StreamVersions::remember(const StreamIdentity &stream, const std::string &version)
{
    KnownStream &known = this->streams[keyOf(stream)];
    known.recordedVersion = known.recordedVersion && known.version == version;
    known.hasEvents = known.hasEvents && known.version == version;
    known.identity = stream;
    known.version = version;
    known.endedAt = std::nullopt;
    known.isBroken = false;
    known.isWithdrawn = false;
    return known;
}

void StreamVersions::onSend(const StreamIdentity &stream, const std::string &version)
{
    const std::lock_guard lock(this->mutex);
    this->recordIfOpen(this->remember(stream, version));
}

void StreamVersions::onEvents(const StreamIdentity &stream, const std::string &version)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->streams.find(keyOf(stream));
    if (found == this->streams.end() || std::exchange(found->second.hasEvents, true)) {
        return;
    }
    // Take-ups that do not name the attempt find it by the request alone.
    for (const RequestId &attempt : {stream.attempt, RequestId()}) {
        this->parts.streamNews.tell(toldStreamKey(attempt, stream.request), StreamOrigin{stream.service, version});
    }
}

void StreamVersions::recordIfOpen(KnownStream &stream)
{
    const std::set<std::string> candidates = this->table.candidates(stream.identity.service, stream.identity.bucket);
    // Streams of an instance that learned of a change too late may not be among the candidates at all.
    const bool open = candidates.size() > 1 || (candidates.size() == 1 && !candidates.contains(stream.version));
    if (open && (!stream.endedAt || stream.isBroken) && !stream.recordedVersion) {
        this->enqueueRecord(stream, std::nullopt, nullptr);
    }
}

void StreamVersions::onEnded(const StreamIdentity &stream, bool isBroken, Time now)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->streams.find(keyOf(stream));
    if (found != this->streams.end()) {
        found->second.endedAt = now;
        found->second.isBroken = isBroken;
        if (!found->second.hasEvents && found->second.records > 0) {
            // Else it would tell the version of another attempt of the same request.
            found->second.isWithdrawn = true;
            found->second.version.clear();
            this->enqueueRecord(found->second, std::nullopt, nullptr);
        }
    }
}

StreamVersions::StreamKey StreamVersions::keyOf(const StreamIdentity &stream)
{
    return {stream.attempt, stream.request};
}

void StreamVersions::expire(Time now)
{
    const std::lock_guard lock(this->mutex);
    this->table.expireEarlier(now - 2 * this->retention);
    std::erase_if(this->markedAt, [this, now](const auto &entry) {
        return now - entry.second > this->retention;
    });
    this->parts.streamNews.expire(now - this->retention);
    std::erase_if(this->streams, [this, now](const auto &entry) {
        return entry.second.endedAt && now - *entry.second.endedAt > this->retention;
    });
}

void StreamVersions::recordMoved()
{
    const std::lock_guard lock(this->mutex);
    for (auto &[attempt, stream] : this->streams) {
        this->recordIfOpen(stream);
    }
}

std::optional<KvPut> StreamVersions::divertedMark(const StreamIdentity &stream, const std::string &version, Time now) const
{
    const std::string key = divertedRecordKey(stream.service, stream.bucket, version);
    const auto marked = this->markedAt.find(key);
    const bool hasNoAssignment = this->isKnown() && !this->table.assigned(stream.service, stream.bucket);
    if (hasNoAssignment || (marked != this->markedAt.end() && now - marked->second <= this->retention)) {
        return std::nullopt;
    }
    VersionRecord record{stream.service, true, true, {}};
    record.versions[stream.bucket] = {version};
    return KvPut{key, encodeVersionRecord(record), 0};
}

void StreamVersions::enqueueRecord(KnownStream &stream, std::optional<KvPut> mark, std::shared_ptr<PendingResult<bool>> pending)
{
    stream.records += 1;
    stream.recordedVersion = true;
    // A later record has a key of its own: an earlier write may still take effect after its answer was lost.
    this->queue.push_back(QueuedRecord{keyOf(stream.identity),
                                       streamRecordKey(stream.identity.attempt, stream.records, stream.identity.request),
                                       requestRecordKey(stream.identity.request, stream.identity.attempt, stream.records),
                                       stream.version,
                                       std::move(mark),
                                       std::move(pending)});
    this->startWriting();
}

void StreamVersions::startWriting()
{
    if (!this->writing) {
        this->writing = true;
        // Not started here: on the context's own thread it would run at once, and the mutex is held.
        asio::post(this->parts.context, [this]() {
            asio::co_spawn(this->parts.context, this->writeRecords(), asio::detached);
        });
    }
}

asio::awaitable<std::uint64_t> StreamVersions::leaseForRecords()
{
    const Time now = currentTime();
    Duration lifetime{};
    {
        const std::lock_guard lock(this->mutex);
        lifetime = this->retention;
    }
    if (now < this->leaseRenewAt && lifetime <= this->leasedLifetime) {
        co_return this->lease;
    }
    // What is written until the next lease is granted lasts long enough, too. Streams begin for another lifetime after a mark, and then last up to one.
    const Result<std::uint64_t> granted = co_await this->parts.service.grantLease(3 * lifetime);
    if (!granted) {
        logError("versions", "no lease for records of streams", granted.error());
        co_return 0;
    }
    this->lease = granted.value();
    this->leaseRenewAt = now + lifetime;
    this->leasedLifetime = lifetime;
    co_return this->lease;
}

asio::awaitable<bool> StreamVersions::writeBatch(const std::vector<QueuedRecord> &batch)
{
    const std::uint64_t batchLease = co_await this->leaseForRecords();
    if (batchLease == 0) {
        co_return false;
    }
    KvTransaction write;
    for (const QueuedRecord &record : batch) {
        write.puts.push_back(KvPut{record.key, record.version, batchLease});
        write.puts.push_back(KvPut{record.requestKey, record.version, batchLease});
        if (record.mark) {
            write.puts.push_back(KvPut{record.mark->key, record.mark->value, batchLease});
        }
    }
    const Result<KvTransactionReply> reply = co_await this->parts.service.transact(std::move(write));
    if (!reply) {
        this->leaseRenewAt = Time{}; // The lease may be what the service no longer knows.
        logError("versions", "could not record the software versions of " + std::to_string(batch.size()) + " streams", reply.error());
    }
    co_return reply &&reply.value().succeeded;
}

std::size_t StreamVersions::entriesOf(const QueuedRecord &record)
{
    return record.mark ? 3 : 2;
}

std::vector<StreamVersions::QueuedRecord> StreamVersions::onWritten(std::vector<QueuedRecord> batch, bool stored, Time now)
{
    std::vector<QueuedRecord> failed;
    const std::lock_guard lock(this->mutex);
    for (QueuedRecord &record : batch) {
        if (record.mark && stored) {
            this->markedAt[record.mark->key] = now;
        }
        if (record.pending) {
            record.pending->set(stored);
        } else if (!stored) {
            failed.push_back(std::move(record));
        }
    }
    return failed;
}

asio::awaitable<void> StreamVersions::repeatLater(std::vector<QueuedRecord> records)
{
    co_await sleepFor(recordRetryDelay);
    const std::lock_guard lock(this->mutex);
    for (QueuedRecord &record : records) {
        const auto stream = this->streams.find(record.stream);
        // A stream that ended long ago is not taken up any more; one that went on at another version has a later record.
        if (stream != this->streams.end() && stream->second.version == record.version) {
            this->queue.push_back(std::move(record));
        }
    }
    if (!this->queue.empty()) {
        this->startWriting();
    }
}

asio::awaitable<void> StreamVersions::writeRecords()
{
    while (true) {
        std::vector<QueuedRecord> batch;
        {
            const std::lock_guard lock(this->mutex);
            std::size_t entries = 0;
            while (!this->queue.empty() && entries + entriesOf(this->queue.front()) <= maxBatch) {
                entries += entriesOf(this->queue.front());
                batch.push_back(std::move(this->queue.front()));
                this->queue.pop_front();
            }
            if (batch.empty()) {
                this->writing = false;
                co_return;
            }
        }
        const bool stored = co_await this->writeBatch(batch);
        (stored ? this->recordsStored : this->recordsFailed).add(static_cast<double>(batch.size()));
        std::vector<QueuedRecord> failed = this->onWritten(std::move(batch), stored, currentTime());
        if (!failed.empty()) {
            asio::co_spawn(this->parts.context, this->repeatLater(std::move(failed)), asio::detached);
        }
    }
}

asio::awaitable<Result<void>> StreamVersions::record(StreamIdentity stream, std::string version)
{
    const auto pending = std::make_shared<PendingResult<bool>>();
    {
        const std::lock_guard lock(this->mutex);
        this->enqueueRecord(this->remember(stream, version), this->divertedMark(stream, version, currentTime()), pending);
    }
    const std::optional<bool> stored = co_await pending->wait(serviceTimeout);
    if (!stored.value_or(false)) {
        co_return Error{ErrorCode::ServiceUnavailable,
                        Step::Admit,
                        {},
                        Executed::No,
                        serviceTimeout,
                        "no endpoint of the stream's software version takes calls, and the start at version '" + version + "' could not be recorded"};
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<std::optional<KvRange>> StreamVersions::readRange(std::string prefix)
{
    const auto pending = std::make_shared<PendingResult<std::optional<KvRange>>>();
    asio::co_spawn(
        this->parts.context,
        [this, pending, prefix = std::move(prefix)]() -> asio::awaitable<void> {
            const Result<KvRange> range = co_await this->parts.service.range(prefix);
            if (!range) {
                logError("versions", "cannot read the records of a stream", range.error());
            }
            pending->set(range ? std::optional(range.value()) : std::nullopt);
        },
        asio::detached);
    std::optional<std::optional<KvRange>> read = co_await pending->wait(serviceTimeout);
    std::optional<KvRange> range = read ? std::move(*read) : std::nullopt;
    co_return range;
}

asio::awaitable<StreamRecord> StreamVersions::readRecord(StreamIdentity stream)
{
    const std::optional<KvRange> range = co_await this->readRange(streamRecordPrefix(stream.attempt));
    StreamRecord record;
    if (!range) {
        co_return record;
    }
    record.state = RecordState::Absent;
    for (const KvPair &pair : range->pairs) {
        // A caller may name an attempt of another stream.
        if (isRecordOf(pair.key, stream.request)) {
            // An empty one withdraws those of an attempt that brought no event.
            record.state = pair.value.empty() ? RecordState::Absent : RecordState::Found;
            record.version = pair.value;
        }
    }
    co_return record;
}

asio::awaitable<std::optional<std::set<std::string>>> StreamVersions::readRequestRecords(RequestFingerprint request)
{
    const std::optional<KvRange> range = co_await this->readRange(requestRecordPrefix(request));
    std::optional<std::set<std::string>> versions;
    if (range) {
        versions = versionsOfRequest(*range);
    }
    co_return versions;
}

asio::awaitable<void> StreamVersions::awaitAssignments()
{
    const Time giveUpAt = currentTime() + serviceTimeout;
    while (currentTime() < giveUpAt) {
        {
            const std::lock_guard lock(this->mutex);
            if (this->isKnown() && !this->parts.news.isBehind()) {
                co_return;
            }
        }
        co_await sleepFor(pollInterval);
    }
}

bool StreamVersions::hasStoodStill(Time now) const
{
    const Time ticked = this->tickedAt;
    return this->stoodStill || (ticked != Time{} && now - ticked > standstillThreshold);
}

bool StreamVersions::hasJustStoodStill(Time now) const
{
    const Time ticked = this->tickedAt;
    return (ticked != Time{} && now - ticked > standstillThreshold) || now - this->wokeAt.load() < settlingTime;
}

bool StreamVersions::isSettled(Time now) const
{
    return !this->hasStoodStill(now) || now - this->handedAt.load() <= assignmentLifetime;
}

bool StreamVersions::isOutOfStep(Time now) const
{
    return this->hasStoodStill(now) || now - this->parts.news.confirmedAt() > assignmentLifetime;
}

bool StreamVersions::isOutageForAll(Time now) const
{
    // What an instance heard before it was paused, or cut off from most of the others, does not tell.
    const bool isSettledSincePause = !this->hasStoodStill(now) || this->handedAt.load() > this->wokeAt.load();
    // One that started in the outage knows few of the others, and relies on those that have been there before.
    const bool isVouchedFor = this->loaded || now - this->handedAt.load() <= assignmentLifetime;
    return isSettledSincePause && isVouchedFor && this->parts.gossip.hearsMost(now)
        && !this->parts.gossip.hasServiceContactAfter(now - serviceContactThreshold);
}

asio::awaitable<void> StreamVersions::reload()
{
    const Time startedAt = currentTime();
    const bool loaded = co_await this->follower.load();
    if (loaded) {
        this->parts.news.onConfirmed(this->parts.news.knownRevision(), this->follower.loadedAt());
    } else {
        this->failedAt = startedAt;
    }
    this->reloading = false;
    if (loaded && startedAt - this->tickedAt.load() <= standstillThreshold) {
        this->stoodStill = false;
    }
    this->readingEnded.notify();
}

asio::awaitable<bool> StreamVersions::confirmRecords(Time time)
{
    const Time giveUpAt = currentTime() + serviceTimeout;
    while (this->follower.loadedAt() < time) {
        const Time now = currentTime();
        if (this->failedAt.load() >= time || now >= giveUpAt) {
            co_return false;
        }
        // A reading that is under way was sent before, and may miss what has changed since.
        if (!this->reloading.exchange(true)) {
            asio::post(this->parts.context, [this]() {
                asio::co_spawn(this->parts.context, this->reload(), asio::detached);
            });
        }
        co_await this->readingEnded.wait(std::min<Duration>(pollInterval, giveUpAt - now));
    }
    co_return true;
}

void StreamVersions::catchUp(Time now)
{
    const Time before = this->tickedAt.exchange(now);
    if (before != Time{} && now - before > longestUnnoticedPause) {
        this->delayedAt = now;
    }
    if (before != Time{} && now - before > standstillThreshold) {
        this->stoodStill = true;
        this->wokeAt = now;
    }
    if (this->stoodStill && !this->reloading.exchange(true)) {
        asio::co_spawn(this->parts.context, this->reload(), asio::detached);
    }
}

void StreamVersions::confirmWhenDue(Time now)
{
    this->parts.news.onConfirmed(this->parts.news.knownRevision(), this->follower.loadedAt());
    const bool isRetry = now - this->failedAt.load() < confirmationRetryDelay;
    if (!isRetry && this->parts.news.isConfirmationDue(this->proposerRank(), now) && !this->reloading.exchange(true)) {
        asio::co_spawn(this->parts.context, this->reload(), asio::detached);
    }
}

std::string StreamVersions::onFound(const StreamIdentity &stream, const RequestId &request, const std::string &version, VersionSource source)
{
    const Time now = currentTime();
    this->foundVersions.at(static_cast<std::size_t>(source))->add();
    logRecord(LogLevel::Info,
              "versions",
              "a stream goes on at its software version",
              {{"request", request},
               {"resumes", stream.isAttemptKnown ? stream.attempt : std::string()},
               {"stream_fingerprint", hashText(stream.request)},
               {"service", stream.service},
               {"bucket", std::to_string(stream.bucket)},
               {"version", version},
               {"source", std::string(nameIn(versionSourceNames, source))},
               {"assignments_age_ms", milliseconds(now - this->follower.loadedAt())},
               {"peers_age_ms", milliseconds(now - this->parts.gossip.lastReportAt())},
               {"out_of_step", this->isOutOfStep(now) ? "true" : "false"}});
    return version;
}

asio::awaitable<Result<std::string>> StreamVersions::findByRecords(StreamIdentity stream, RequestId request)
{
    const std::set<std::string> listed = this->listedVersions(stream.service);
    bool hasNoVersions = false;
    {
        const std::lock_guard lock(this->mutex);
        hasNoVersions = this->table.candidates(stream.service, stream.bucket).empty() && listed == std::set<std::string>{std::string()};
    }
    if (hasNoVersions) {
        co_return this->onFound(stream, request, std::string(), VersionSource::Assignment);
    }
    // Also where the bucket has a single version: an instance that learned of it late records what it began at another one.
    StreamRecord recorded;
    recorded.state = RecordState::Absent;
    if (stream.isAttemptKnown) {
        recorded = co_await this->readRecord(stream);
        if (recorded.state == RecordState::Unknown) {
            co_return this->refuse(stream, request, "the record of the stream could not be read");
        }
    }
    std::optional<std::string> version;
    std::size_t candidates = 0;
    bool mayBeDiverted = false;
    {
        const std::lock_guard lock(this->mutex);
        version = this->table.resolve(stream.service, stream.bucket, recorded);
        candidates = this->table.candidates(stream.service, stream.bucket).size();
        mayBeDiverted = this->table.mayBeDiverted(stream.service, stream.bucket);
    }
    // The attempt that the caller names may not be the one that began the stream. That matters only where the streams of its bucket differ.
    const bool isByAttempt = stream.isAttemptKnown && !(recorded.state == RecordState::Absent && candidates == 1 && mayBeDiverted);
    if (isByAttempt && version) {
        co_return this->onFound(stream, request, *version, recorded.state == RecordState::Found ? VersionSource::Record : VersionSource::Assignment);
    }
    if (isByAttempt) {
        co_return this->refuse(stream, request, "the stream has no record");
    }
    const std::optional<std::set<std::string>> ofRequest = co_await this->readRequestRecords(stream.request);
    if (!ofRequest) {
        co_return this->refuse(stream, request, "the records of the request could not be read");
    }
    {
        const std::lock_guard lock(this->mutex);
        version = this->table.resolveUnnamed(stream.service, stream.bucket, *ofRequest);
    }
    if (version) {
        co_return this->onFound(stream, request, *version, ofRequest->empty() ? VersionSource::Assignment : VersionSource::RequestRecord);
    }
    co_return this->refuse(stream, request, "several versions may have begun the stream");
}

Error StreamVersions::refuse(const StreamIdentity &stream, const RequestId &request, const std::string &reason)
{
    const std::set<std::string> listed = this->listedVersions(stream.service);
    std::set<std::string> candidates;
    bool diverted = false;
    {
        const std::lock_guard lock(this->mutex);
        candidates = this->table.candidates(stream.service, stream.bucket);
        diverted = this->table.mayBeDiverted(stream.service, stream.bucket);
    }
    this->unknownVersions.add();
    logRecord(LogLevel::Info,
              "versions",
              "the software version of a stream is not known",
              {{"request", request},
               {"resumes", stream.isAttemptKnown ? stream.attempt : std::string()},
               {"stream_fingerprint", hashText(stream.request)},
               {"service", stream.service},
               {"bucket", std::to_string(stream.bucket)},
               {"candidates", joined(candidates)},
               {"diverted", diverted ? "true" : "false"},
               {"listed", joined(listed)},
               {"assignments_age_ms", milliseconds(currentTime() - this->follower.loadedAt())},
               {"peers_age_ms", milliseconds(currentTime() - this->parts.gossip.lastReportAt())},
               {"out_of_step", this->isOutOfStep(currentTime()) ? "true" : "false"},
               {"reason", reason}});
    return Error{ErrorCode::VersionUnknown,
                 Step::Admit,
                 {},
                 Executed::No,
                 std::nullopt,
                 "the software version that began the stream is not known; the request may be sent again from its start"};
}

std::size_t StreamVersions::proposerRank() const
{
    return this->parts.gossip.countReports([this](const PeerReport &peer) {
        return !peer.instance.leaving && peer.instance.id < this->self;
    });
}

asio::awaitable<void> StreamVersions::tickLoop()
{
    while (true) {
        co_await sleepFor(tickInterval);
        const Time now = currentTime();
        this->catchUp(now);
        this->confirmWhenDue(now);
        this->askPeer(now);
        if (this->parts.news.isCurrent(false, now)) {
            this->parts.gossip.forgetLost(now);
        }
    }
}

asio::awaitable<void> StreamVersions::proposeLoop()
{
    while (true) {
        co_await sleepFor(proposeInterval);
        const std::shared_ptr<const ActiveGatewayConfiguration> active = this->parts.configurationHolder.current();
        if (!active) {
            continue;
        }
        std::set<std::string> services;
        Duration longestTimeout{};
        for (const Route &route : active->configuration.routes) {
            if (route.kind != RouteKind::Stream || !route.resumable) {
                continue;
            }
            longestTimeout = std::max(longestTimeout, route.timeout);
            for (const RouteTarget &target : route.targets) {
                services.insert(target.service);
            }
        }
        const Time now = currentTime();
        longestTimeout = std::max(longestTimeout, this->parts.targets.longestResumableTimeout(now));
        bool ready = false;
        {
            const std::lock_guard lock(this->mutex);
            this->streamTime.update(longestTimeout + changeDelay, now);
            const Duration before = std::exchange(this->retention, std::max(minRetention, this->streamTime.current()));
            if (this->retention > before) {
                // Their leases are too short for the streams that begin from now on.
                this->markedAt.clear();
            }
            ready = this->loaded;
        }
        for (const std::string &service : services) {
            if (ready) {
                co_await this->proposeFor(service, currentTime());
            }
        }
    }
}

asio::awaitable<void> StreamVersions::proposeFor(std::string service, Time now)
{
    std::map<std::string, std::uint32_t> slots = this->parts.pools.slotsByVersion(service);
    slots.erase(std::string()); // Endpoints that state no version take no streams that may be resumed.
    VersionBuckets current;
    Duration sinceMove{};
    {
        const std::lock_guard lock(this->mutex);
        current = this->table.bucketsOf(service);
        const auto moved = this->movedAt.find(service);
        sinceMove = moved == this->movedAt.end() ? Duration::max() : Duration(now - moved->second);
    }
    VersionBuckets planned = planVersionBuckets(current, slots);
    if (planned.empty() || !isVersionMoveDue(current, planned, slots, sinceMove)) {
        this->dueSince.erase(service);
        co_return;
    }
    if (!this->parts.gossip.hearsHalf(now)) {
        // Most of the others may be without the key-value service, and take what they know for what is in force.
        co_return;
    }
    const Duration due = now - this->dueSince.emplace(service, now).first->second;
    const std::size_t rank = this->proposerRank();
    if (rank < proposerCount && due >= proposerDelay * static_cast<Duration::rep>(rank) && now >= this->proposeAgainAt) {
        co_await this->propose(std::move(service), std::move(current), std::move(planned));
        co_return;
    }
    std::uniform_int_distribution<int> jitter(0, unseenChangeJitterMs);
    if (due >= unseenChangeDelay) {
        this->dueSince[service] = now + std::chrono::milliseconds(jitter(this->random));
        co_await this->follower.load();
    }
}

asio::awaitable<void> StreamVersions::propose(std::string service, VersionBuckets current, VersionBuckets planned)
{
    Duration lifetime{};
    std::uint64_t revision = 0;
    {
        const std::lock_guard lock(this->mutex);
        lifetime = this->retention;
        revision = this->table.revisionOf(service);
    }
    VersionRecord record{service, false, false, {}};
    VersionRecord earlier{service, true, false, {}};
    const std::set<std::string> listed = this->listedVersions(service);
    for (std::size_t bucket = 0; bucket < planned.size(); ++bucket) {
        record.versions[bucket] = {planned[bucket]};
        if (current.empty() && listed.size() > 1) {
            earlier.versions[bucket] = listed;
        } else if (!current.empty() && current[bucket] != planned[bucket]) {
            earlier.versions[bucket] = {current[bucket]};
        }
    }
    KvTransaction write;
    write.compares.push_back(KvCompare{versionRecordKey(service), revision});
    if (!earlier.versions.empty()) {
        const Time askedAt = currentTime();
        const Result<std::uint64_t> granted = co_await this->parts.service.grantLease(lifetime + leaseMargin);
        if (!granted || currentTime() - askedAt > leaseMargin / 2) {
            logRecord(LogLevel::Warning,
                      "versions",
                      "no lease for a change of the assignment",
                      {{"service", service}, {"detail", granted ? "it was granted too late" : granted.error().detail}});
            this->proposeAgainAt = currentTime() + proposeRetryDelay;
            co_return;
        }
        // In front of the assignment: events are applied one by one.
        write.puts.push_back(KvPut{earlierRecordKey(service, revision), encodeVersionRecord(earlier), granted.value()});
    }
    write.puts.push_back(KvPut{versionRecordKey(service), encodeVersionRecord(record), 0});
    const Result<KvTransactionReply> reply = co_await this->parts.service.transact(std::move(write));
    if (!reply) {
        logError("versions", "could not change the assignment of " + service, reply.error());
        this->proposeAgainAt = currentTime() + proposeRetryDelay;
        co_return;
    }
    logRecord(LogLevel::Info,
              "versions",
              reply.value().succeeded ? "changed the assignment" : "another instance changed the assignment",
              {{"service", service}, {"moved", std::to_string(earlier.versions.size())}, {"revision", std::to_string(reply.value().revision)}});
    co_await this->follower.load();
}

} // namespace oleandergate
