#include "runtime/configkeeper.h"

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

//! Versions kept for `config history`.
constexpr std::uint64_t keptVersions = 50;
constexpr std::size_t nonceBytes = 16;

std::string newNonce()
{
    return sha256Hex(MessageAuth::randomBytes(nonceBytes)).substr(0, 2 * nonceBytes);
}

} // namespace

std::string showConfigVersion(const ConfigVersion &version)
{
    const json::object object{{"version", version.version},
                              {"author", version.author},
                              {"nonce", version.nonce},
                              {"text", version.text},
                              {"at", version.at.time_since_epoch().count()}};
    return json::serialize(object);
}

std::optional<ConfigVersion> readConfigVersion(const std::string &stored)
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

ConfigKeeper::ConfigKeeper(KeyValueService &service, std::string dataFolder, EventLog &events)
    : service(service)
    , dataFolder(std::move(dataFolder))
    , events(events)
{
}

void ConfigKeeper::setListener(Listener newListener)
{
    this->listener = std::move(newListener);
}

void ConfigKeeper::restore()
{
    if (this->dataFolder.empty()) {
        return;
    }
    std::ifstream in(std::filesystem::path(this->dataFolder) / "configuration.json");
    std::stringstream text;
    text << in.rdbuf();
    if (in) {
        this->offerStored(text.str());
    }
}

bool ConfigKeeper::offerStored(const std::string &stored)
{
    const std::optional<ConfigVersion> version = readConfigVersion(stored);
    return version && this->offer(*version);
}

bool ConfigKeeper::offer(const ConfigVersion &version)
{
    std::shared_ptr<const ActiveConfig> accepted;
    {
        const std::lock_guard lock(this->mutex);
        if (!isNewerConfig(this->current ? this->current->version.version : 0, version.version)) {
            return false;
        }
        ConfigIssues issues;
        std::optional<Configuration> configuration = parseConfiguration(version.text, "configuration", issues);
        if (!configuration) {
            logRecord(
                LogLevel::Error, "config", "a stored version does not read", {{"version", std::to_string(version.version)}, {"issues", describe(issues)}});
            return false;
        }
        accepted = std::make_shared<const ActiveConfig>(ActiveConfig{version, std::move(*configuration)});
        this->current = accepted;
    }
    this->events.note(Step::ConfigActivate, {}, {}, "version " + std::to_string(version.version));
    logRecord(LogLevel::Info, "config", "in force", {{"version", std::to_string(version.version)}, {"author", version.author}});
    if (!this->dataFolder.empty()) {
        const std::filesystem::path folder(this->dataFolder);
        std::error_code error;
        std::filesystem::create_directories(folder, error);
        std::ofstream(folder / "configuration.json.new") << showConfigVersion(version);
        std::filesystem::rename(folder / "configuration.json.new", folder / "configuration.json", error);
    }
    if (this->listener) {
        this->listener(accepted);
    }
    return true;
}

std::shared_ptr<const ActiveConfig> ConfigKeeper::active() const
{
    const std::lock_guard lock(this->mutex);
    return this->current;
}

asio::awaitable<Result<ConfigVersion>> ConfigKeeper::apply(std::string text, std::string author, std::uint64_t expected, Time now)
{
    this->events.note(Step::ConfigApply, {}, {}, author + " on version " + std::to_string(expected));
    const auto conflict = [](std::uint64_t inForce) {
        return Error{ErrorCode::Conflict, Step::ConfigApply, {}, Ran::No, std::nullopt, "version " + std::to_string(inForce) + " is in force"};
    };
    // The lost answer of a first try is told from a lost race by the nonce.
    const ConfigVersion next{expected + 1, std::move(author), newNonce(), std::move(text), now};
    constexpr int maxTries = 3;
    Error last;
    for (int tried = 0; tried < maxTries; ++tried) {
        Result<KvRange> range = co_await this->service.range(configKey);
        if (!range) {
            last = range.error();
            continue;
        }
        const KvPair stored = range.value().pairs.empty() ? KvPair{configKey} : range.value().pairs.front();
        const std::optional<ConfigVersion> current = readConfigVersion(stored.value);
        const std::uint64_t inForce = current ? current->version : 0;
        const ConfigStamp stamp{inForce, current ? current->nonce : std::string()};
        const ApplyVerdict verdict = judgeApply(stamp, expected, next.nonce);
        if (verdict == ApplyVerdict::AlreadyApplied) {
            this->offer(next);
            co_return next;
        }
        if (verdict == ApplyVerdict::Conflict) {
            co_return conflict(inForce);
        }
        KvTransaction write;
        write.compares.push_back(KvCompare{configKey, stored.revision});
        write.puts.push_back(KvPut{configKey, showConfigVersion(next)});
        write.puts.push_back(KvPut{configHistoryKey(next.version), showConfigVersion(next)});
        if (next.version > keptVersions) {
            write.deletes.push_back(KvDelete{configHistoryKey(next.version - keptVersions), false});
        }
        Result<KvTransactionReply> reply = co_await this->service.transact(std::move(write));
        if (reply && reply.value().succeeded) {
            this->offer(next);
            co_return next;
        }
        if (!reply) {
            last = reply.error();
        }
    }
    last.step = Step::ConfigApply;
    last.code = ErrorCode::ServiceUnavailable;
    co_return last;
}

asio::awaitable<Result<std::vector<ConfigVersion>>> ConfigKeeper::history()
{
    Result<KvRange> range = co_await this->service.range(configHistoryPrefix);
    if (!range) {
        co_return range.error();
    }
    std::vector<ConfigVersion> versions;
    for (const KvPair &pair : range.value().pairs) {
        if (std::optional<ConfigVersion> version = readConfigVersion(pair.value)) {
            versions.push_back(std::move(*version));
        }
    }
    std::reverse(versions.begin(), versions.end());
    co_return versions;
}

} // namespace oleandergate
