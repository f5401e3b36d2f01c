#include "gateway/routetargetrecords.h"

#include "decision/hash.h"
#include "gateway/milliseconds.h"
#include "gateway/peergossip.h"
#include "gateway/versionrecords.h"
#include "runtime/clock.h"
#include "runtime/jsonaccess.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace oleandergate {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char *presentKey = "oleandergate/versions/routes";
constexpr const char *formerPrefix = "oleandergate/versions/routes/before/";

//! Fields of a record with its routes. Earlier builds know the first one only.
constexpr const char *resumableField = "routes";
constexpr const char *unresumableField = "unresumable";

//! Instances that write changes take turns, as all would write the same one: the first ones have time for a whole write each.
constexpr std::size_t firstProposers = 3;
constexpr Duration firstProposerDelay = std::chrono::milliseconds(150);
constexpr Duration proposerDelay = std::chrono::milliseconds(20);
constexpr Duration writeRetryDelay = std::chrono::milliseconds(200);

//! A change that another instance should have written is looked for after this time: a watch may stop delivering events without an error.
constexpr Duration rereadDelay = std::chrono::milliseconds(200);
constexpr Duration rereadInterval = std::chrono::milliseconds(400);

//! Instances that start together learn of each other within this time.
constexpr Duration startupTime = std::chrono::seconds(3);
constexpr Duration longestStartupDelay = std::chrono::milliseconds(400);

json::array targetsToJson(const std::vector<RouteTarget> &targets)
{
    json::array rows;
    for (const RouteTarget &target : targets) {
        rows.push_back(json::array{target.service, target.weight});
    }
    return rows;
}

json::object routeToJson(const RouteKey &key, const RouteTargets &route)
{
    const auto timeoutMs = std::chrono::duration_cast<std::chrono::milliseconds>(route.timeout).count();
    return json::object{{"host", key.first}, {"prefix", key.second}, {"timeout_ms", timeoutMs}, {"targets", targetsToJson(route.targets)}};
}

//! A record as stored in the key-value service.
struct TargetRecord
{
    std::uint64_t version = 0;
    FormerTargets routes{};
    Duration retention{}; //!< Of former targets.
    bool hasUnresumable = true; //!< As in VersionedTargets.
};

std::string encode(const TargetRecord &record)
{
    json::object object{{"version", record.version}, {"retention_ms", std::chrono::duration_cast<std::chrono::milliseconds>(record.retention).count()}};
    object[resumableField] = json::array();
    if (record.hasUnresumable) {
        object[unresumableField] = json::array();
    }
    for (const auto &[key, entries] : record.routes) {
        for (const RouteTargets &route : entries) {
            object[route.isResumable ? resumableField : unresumableField].as_array().push_back(routeToJson(key, route));
        }
    }
    return json::serialize(object);
}

std::string encode(const VersionedTargets &targets)
{
    TargetRecord record;
    record.version = targets.version;
    record.hasUnresumable = targets.hasUnresumable;
    for (const auto &[key, route] : targets.routes) {
        record.routes[key].push_back(route);
    }
    return encode(record);
}

//! Returns nothing when \p row is no target.
std::optional<RouteTarget> targetFromJson(const json::value &row)
{
    const json::array *fields = row.if_array();
    if (fields == nullptr || fields->size() != 2 || !fields->at(0).is_string() || !fields->at(1).is_int64() || fields->at(1).get_int64() < 0) {
        return std::nullopt;
    }
    return RouteTarget{std::string(fields->at(0).get_string()), static_cast<std::uint32_t>(fields->at(1).get_int64())};
}

//! Adds the routes in the field \p name of a record to \p routes. Returns false when one of them is invalid.
bool readRoutes(const json::object &object, const char *name, FormerTargets &routes)
{
    for (const json::object &row : jsonObjects(object, name)) {
        RouteTargets route;
        route.isResumable = name == std::string_view(resumableField);
        route.timeout = std::chrono::milliseconds(jsonNumber(row, "timeout_ms"));
        const json::value *targets = row.if_contains("targets");
        if (targets == nullptr || !targets->is_array()) {
            return false;
        }
        for (const json::value &target : targets->get_array()) {
            std::optional<RouteTarget> read = targetFromJson(target);
            if (!read) {
                return false;
            }
            route.targets.push_back(std::move(*read));
        }
        if (route.targets.empty()) {
            return false;
        }
        routes[{jsonText(row, "host"), jsonText(row, "prefix")}].push_back(std::move(route));
    }
    return true;
}

//! Returns nothing when a field is missing or invalid.
std::optional<TargetRecord> decode(const std::string &text)
{
    const json::object object = parseJsonObject(text);
    const std::int64_t version = jsonNumber(object, "version", -1);
    if (version < 0 || !object.contains(resumableField)) {
        return std::nullopt;
    }
    TargetRecord decoded;
    decoded.version = static_cast<std::uint64_t>(version);
    decoded.retention = std::chrono::milliseconds(jsonNumber(object, "retention_ms"));
    decoded.hasUnresumable = object.contains(unresumableField);
    if (!readRoutes(object, resumableField, decoded.routes) || !readRoutes(object, unresumableField, decoded.routes)) {
        return std::nullopt;
    }
    return decoded;
}

} // namespace

RouteTargetRecords::RouteTargetRecords(const Parts &parts, const InstanceId &self)
    : parts(parts)
    , self(self)
    , recordsWritten(parts.metrics.counter("oleandergate_route_target_records_total", "result=\"stored\""))
    , recordsFailed(parts.metrics.counter("oleandergate_route_target_records_total", "result=\"failed\""))
    , startedAt(currentTime())
    , startupDelay(static_cast<Duration::rep>(hashOf(self) % static_cast<std::uint64_t>(longestStartupDelay.count())))
{
}

void RouteTargetRecords::setReread(Reread newReread)
{
    this->rereadRecords = std::move(newReread);
}

bool RouteTargetRecords::isRecordKey(const std::string &key)
{
    return key == presentKey || key.starts_with(formerPrefix);
}

void RouteTargetRecords::put(const KvPair &pair, Time now)
{
    std::optional<TargetRecord> record = decode(pair.value);
    if (!record) {
        logRecord(LogLevel::Error, "routes", "ignored an invalid record of targets", {{"key", pair.key}, {"revision", std::to_string(pair.revision)}});
        return;
    }
    if (pair.key != presentKey) {
        this->ledger.addFormer(pair.key, std::move(record->routes), record->retention, now);
        return;
    }
    VersionedTargets targets;
    targets.version = record->version;
    targets.hasUnresumable = record->hasUnresumable;
    for (auto &[key, routes] : record->routes) {
        targets.routes[key] = std::move(routes.front());
    }
    this->ledger.setPresent(std::move(targets), pair.revision);
}

void RouteTargetRecords::load(const KvRange &range)
{
    const Time now = currentTime();
    const std::lock_guard lock(this->mutex);
    this->ledger.reset();
    for (const KvPair &pair : range.pairs) {
        if (isRecordKey(pair.key)) {
            this->put(pair, now);
        }
    }
}

void RouteTargetRecords::apply(const KvEvent &event)
{
    const std::lock_guard lock(this->mutex);
    if (event.deleted) {
        this->ledger.dropFormer(event.pair.key);
    } else {
        this->put(event.pair, currentTime());
    }
}

void RouteTargetRecords::require(VersionedTargets targets, Time now)
{
    {
        const std::lock_guard lock(this->mutex);
        this->required = std::move(targets);
    }
    this->step(now);
}

void RouteTargetRecords::addUnrecorded(VersionedTargets targets)
{
    const std::lock_guard lock(this->mutex);
    this->unrecorded.push_back(std::move(targets));
}

bool RouteTargetRecords::holds(const VersionedTargets &targets) const
{
    const std::lock_guard lock(this->mutex);
    return this->ledger.holds(targets);
}

bool RouteTargetRecords::isAsNewAs(const VersionedTargets &targets) const
{
    const std::lock_guard lock(this->mutex);
    return this->ledger.isAsNewAs(targets);
}

bool RouteTargetRecords::isNewerThan(const VersionedTargets &targets) const
{
    const std::lock_guard lock(this->mutex);
    return this->ledger.isNewerThan(targets);
}

bool RouteTargetRecords::isLoaded() const
{
    const std::lock_guard lock(this->mutex);
    return this->ledger.isLoaded();
}

bool RouteTargetRecords::isRead() const
{
    const std::lock_guard lock(this->mutex);
    return this->ledger.isRead();
}

Duration RouteTargetRecords::longestResumableTimeout(Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->ledger.longestResumableTimeout(now);
}

void RouteTargetRecords::addOrigins(const Route &route, std::string_view path, std::string_view key, Time now, StreamOrigins &origins) const
{
    const std::lock_guard lock(this->mutex);
    this->ledger.addOrigins(route, path, key, now, origins);
}

bool RouteTargetRecords::isProposer(Duration waited, Time now) const
{
    const Duration spread = now - this->startedAt < startupTime ? this->startupDelay : Duration::zero();
    {
        const std::lock_guard lock(this->mutex);
        // Nobody else knows of these.
        if (!this->unrecorded.empty()) {
            return waited >= spread;
        }
    }
    const std::size_t rank = this->parts.gossip.countReports([this](const PeerReport &peer) {
        return !peer.instance.leaving && peer.instance.id < this->self;
    });
    const std::size_t first = std::min(rank, firstProposers);
    const Duration turn = firstProposerDelay * static_cast<Duration::rep>(first) + proposerDelay * static_cast<Duration::rep>(rank - first);
    return waited >= turn + spread;
}

void RouteTargetRecords::step(Time now)
{
    bool isLoaded = false;
    {
        const std::lock_guard lock(this->mutex);
        const bool isSettled = this->ledger.holds(this->required) || this->ledger.isAsNewAs(this->required);
        if (this->unrecorded.empty() && (this->required.version == 0 || isSettled)) {
            this->dueSince.reset();
            return;
        }
        isLoaded = this->ledger.isLoaded();
    }
    const Duration waited = now - this->dueSince.value_or(now);
    this->dueSince = now - waited;
    if (this->busy) {
        return;
    }
    if (isLoaded && now >= this->writeAgainAt && this->isProposer(waited, now)) {
        this->busy = true;
        asio::co_spawn(this->parts.context, this->write(), asio::detached);
    } else if (waited >= rereadDelay && now >= this->rereadAt) {
        this->busy = true;
        this->rereadAt = now + rereadInterval + this->startupDelay;
        asio::co_spawn(this->parts.context, this->reread(), asio::detached);
    }
}

asio::awaitable<void> RouteTargetRecords::reread()
{
    co_await this->rereadRecords();
    this->busy = false;
}

asio::awaitable<void> RouteTargetRecords::write()
{
    std::optional<RouteTargetLedger::Change> change;
    std::size_t included = 0;
    {
        const std::lock_guard lock(this->mutex);
        change = this->ledger.changeTo(this->required, this->unrecorded);
        included = this->unrecorded.size();
    }
    const std::optional<bool> stored = change ? co_await this->store(std::move(*change)) : std::optional(true);
    if (stored == true) {
        const std::lock_guard lock(this->mutex);
        this->unrecorded.erase(this->unrecorded.begin(), this->unrecorded.begin() + static_cast<std::ptrdiff_t>(included));
    } else {
        this->writeAgainAt = currentTime() + writeRetryDelay;
        co_await this->rereadRecords();
    }
    this->busy = false;
}

asio::awaitable<std::optional<bool>> RouteTargetRecords::store(RouteTargetLedger::Change change)
{
    std::optional<bool> stored;
    const std::string formerKey = formerPrefix + std::to_string(change.present.version) + "-" + std::to_string(change.expectedRevision);
    KvTransaction transaction;
    transaction.compares.push_back(KvCompare{presentKey, change.expectedRevision});
    if (!change.former.empty()) {
        const Result<std::uint64_t> lease = co_await this->parts.service.grantLease(change.retention);
        if (!lease) {
            logError("routes", "no lease for the former targets of routes", lease.error());
            this->recordsFailed.add();
            co_return stored;
        }
        // In front of the present targets: events are applied one by one.
        transaction.puts.push_back(KvPut{formerKey, encode(TargetRecord{change.present.version, change.former, change.retention}), lease.value()});
    }
    transaction.puts.push_back(KvPut{presentKey, encode(change.present), 0});
    const Result<KvTransactionReply> reply = co_await this->parts.service.transact(std::move(transaction));
    stored = reply ? std::optional(reply.value().succeeded) : std::nullopt;
    (stored == true ? this->recordsWritten : this->recordsFailed).add();
    if (!reply) {
        logError("routes", "could not record the targets of routes", reply.error());
        co_return stored;
    }
    logRecord(LogLevel::Info,
              "routes",
              *stored ? "recorded the targets of routes" : "another instance recorded the targets of routes",
              {{"version", std::to_string(change.present.version)},
               {"changed", std::to_string(change.former.size())},
               {"retention_ms", milliseconds(change.retention)},
               {"revision", std::to_string(reply.value().revision)}});
    if (*stored) {
        const std::lock_guard lock(this->mutex);
        if (!change.former.empty()) {
            this->ledger.addFormer(formerKey, std::move(change.former), change.retention, currentTime());
        }
        this->ledger.setPresent(std::move(change.present), reply.value().revision);
    }
    co_return stored;
}

} // namespace oleandergate
