#include "runtime/configservice.h"

#include "decision/configversions.h"
#include "runtime/clock.h"
#include "runtime/eventlog.h"
#include "runtime/jsonaccess.h"
#include "runtime/log.h"
#include "runtime/storekeys.h"
#include "wire/messageauth.h"

#include <boost/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace oleandergate {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

//! Versions that `config history` can show; older ones are deleted.
constexpr std::uint64_t maxHistoryVersions = 50;
constexpr std::size_t nonceBytes = 16;

std::string newNonce()
{
    return sha256Hex(MessageAuth::randomBytes(nonceBytes)).substr(0, 2 * nonceBytes);
}

} // namespace

std::string serializeConfigVersion(const ConfigVersion &version)
{
    const json::object object{{"version", version.version},
                              {"author", version.author},
                              {"nonce", version.nonce},
                              {"text", version.text},
                              {"at", version.at.time_since_epoch().count()}};
    return json::serialize(object);
}

std::optional<ConfigVersion> parseConfigVersion(const std::string &stored)
{
    const json::object object = parseJsonObject(stored);
    if (object.empty()) {
        return std::nullopt;
    }
    return ConfigVersion{static_cast<std::uint64_t>(jsonNumber(object, "version")),
                         jsonText(object, "author"),
                         jsonText(object, "nonce"),
                         jsonText(object, "text"),
                         Time(Duration(jsonNumber(object, "at")))};
}

ConfigService::ConfigService(KeyValueService &service, std::string dataFolder, EventLog &events)
    : service(service)
    , dataFolder(std::move(dataFolder))
    , events(events)
{
}

void ConfigService::setListener(Listener newListener)
{
    this->listener = std::move(newListener);
}

void ConfigService::restoreFromDisk()
{
    if (this->dataFolder.empty()) {
        return;
    }
    std::ifstream in(std::filesystem::path(this->dataFolder) / "configuration.json");
    std::stringstream text;
    text << in.rdbuf();
    if (in) {
        this->activateStoredIfNewer(text.str());
    }
}

bool ConfigService::activateStoredIfNewer(const std::string &stored)
{
    const std::optional<ConfigVersion> version = parseConfigVersion(stored);
    return version && this->activateIfNewer(*version);
}

bool ConfigService::activateIfNewer(const ConfigVersion &version)
{
    std::shared_ptr<const ActiveConfig> activated;
    {
        const std::lock_guard lock(this->mutex);
        if (!isNewerConfig(this->activeConfig ? this->activeConfig->version.version : 0, version.version)) {
            return false;
        }
        ConfigIssues issues;
        std::optional<Configuration> configuration = parseConfiguration(version.text, "configuration", issues);
        if (!configuration) {
            logRecord(LogLevel::Error,
                      "config",
                      "cannot parse a stored configuration version",
                      {{"version", std::to_string(version.version)}, {"issues", describe(issues)}});
            return false;
        }
        activated = std::make_shared<const ActiveConfig>(ActiveConfig{version, std::move(*configuration)});
        this->activeConfig = activated;
    }
    this->events.record(Step::ConfigActivate, {}, {}, "version " + std::to_string(version.version));
    logRecord(LogLevel::Info, "config", "configuration activated", {{"version", std::to_string(version.version)}, {"author", version.author}});
    if (!this->dataFolder.empty()) {
        const std::filesystem::path folder(this->dataFolder);
        std::error_code error;
        std::filesystem::create_directories(folder, error);
        std::ofstream(folder / "configuration.json.new") << serializeConfigVersion(version);
        std::filesystem::rename(folder / "configuration.json.new", folder / "configuration.json", error);
    }
    if (this->listener) {
        this->listener(activated);
    }
    return true;
}

std::shared_ptr<const ActiveConfig> ConfigService::active() const
{
    const std::lock_guard lock(this->mutex);
    return this->activeConfig;
}

asio::awaitable<Result<ConfigVersion>> ConfigService::apply(std::string text, std::string author, std::uint64_t expectedVersion, Time now)
{
    this->events.record(Step::ConfigApply, {}, {}, author + " on version " + std::to_string(expectedVersion));
    const auto conflict = [](std::uint64_t activeVersion) {
        return Error{ErrorCode::Conflict, Step::ConfigApply, {}, Executed::No, std::nullopt, "version " + std::to_string(activeVersion) + " is active"};
    };
    // The nonce tells a write of this call whose reply was lost from the write of another call.
    const ConfigVersion next{expectedVersion + 1, std::move(author), newNonce(), std::move(text), now};
    constexpr int maxAttempts = 3;
    Error lastError;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        Result<KvRange> range = co_await this->service.range(configKey);
        if (!range) {
            lastError = range.error();
            continue;
        }
        const KvPair stored = range.value().pairs.empty() ? KvPair{configKey} : range.value().pairs.front();
        const std::optional<ConfigVersion> current = parseConfigVersion(stored.value);
        const std::uint64_t activeVersion = current ? current->version : 0;
        const ConfigStamp stamp{activeVersion, current ? current->nonce : std::string()};
        const ApplyDecision decision = decideApply(stamp, expectedVersion, next.nonce);
        if (decision == ApplyDecision::AlreadyApplied) {
            this->activateIfNewer(next);
            co_return next;
        }
        if (decision == ApplyDecision::Conflict) {
            co_return conflict(activeVersion);
        }
        KvTransaction write;
        write.compares.push_back(KvCompare{configKey, stored.revision});
        write.puts.push_back(KvPut{configKey, serializeConfigVersion(next)});
        write.puts.push_back(KvPut{configHistoryKey(next.version), serializeConfigVersion(next)});
        if (next.version > maxHistoryVersions) {
            write.deletes.push_back(KvDelete{configHistoryKey(next.version - maxHistoryVersions), false});
        }
        Result<KvTransactionReply> reply = co_await this->service.transact(std::move(write));
        if (reply && reply.value().succeeded) {
            this->activateIfNewer(next);
            co_return next;
        }
        if (!reply) {
            lastError = reply.error();
        }
    }
    lastError.step = Step::ConfigApply;
    lastError.code = ErrorCode::ServiceUnavailable;
    co_return lastError;
}

asio::awaitable<Result<std::vector<ConfigVersion>>> ConfigService::history()
{
    Result<KvRange> range = co_await this->service.range(configHistoryPrefix);
    if (!range) {
        co_return range.error();
    }
    std::vector<ConfigVersion> versions;
    for (const KvPair &pair : range.value().pairs) {
        if (std::optional<ConfigVersion> version = parseConfigVersion(pair.value)) {
            versions.push_back(std::move(*version));
        }
    }
    std::reverse(versions.begin(), versions.end());
    co_return versions;
}

} // namespace oleandergate
