#include "config/configuration.h"

#include "config/checkedtable.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <set>

namespace oleandergate {

namespace {

constexpr std::size_t sha256HexDigits = 64;
constexpr std::int64_t maxPriority = 100;
constexpr std::int64_t maxTurns = 10000;
constexpr std::int64_t defaultMaxTurns = 72;
constexpr std::int64_t maxDeadlineSeconds = 86400;
constexpr std::int64_t maxSlotsPerEndpoint = 1024;
constexpr std::int64_t defaultSlotsPerEndpoint = 8;
constexpr std::int64_t maxTokensPerMinute = 1000000000000;
constexpr std::int64_t minTimeoutMs = 10;
constexpr std::int64_t maxTimeoutMs = 600000;
constexpr std::int64_t defaultTimeoutMs = 10000;
constexpr std::int64_t maxClockSkewMs = 5000;
constexpr std::int64_t defaultClockSkewMs = 250;

void checkHash(CheckedTable &table, const std::string &key, const std::string &hash)
{
    if (hash.size() != sha256HexDigits || hash.find_first_not_of("0123456789abcdef") != std::string::npos) {
        table.addIssue(key, "'" + hash + "'", "a SHA-256 as 64 lower-case hexadecimal digits, as printed by `oleanderctl hash-key`");
    }
}

void checkUnique(CheckedTable &table, std::set<std::string> &seen, const std::string &name)
{
    if (!seen.insert(name).second) {
        table.addIssue("name", "'" + name + "' more than once", "a unique name");
    }
}

OrganisationConfig readOrganisation(CheckedTable &table)
{
    OrganisationConfig organisation;
    organisation.name = table.text("name");
    organisation.keyHashes = table.texts("key_hashes");
    for (const std::string &hash : organisation.keyHashes) {
        checkHash(table, "key_hashes", hash);
    }
    table.reportUnknownKeys();
    return organisation;
}

ProgramConfig readProgram(CheckedTable &table)
{
    ProgramConfig program;
    program.name = table.text("name");
    program.organisation = table.text("organisation");
    program.budget = table.money("budget");
    program.priority = static_cast<int>(table.number("priority", 0, maxPriority, 0));
    program.maxTurns = static_cast<std::uint32_t>(table.number("max_turns", 1, maxTurns, defaultMaxTurns));
    program.deadline = std::chrono::seconds(table.number("deadline_s", 1, maxDeadlineSeconds));
    program.pools = table.texts("pools");
    program.services = table.texts("services");
    table.reportUnknownKeys();
    return program;
}

PoolConfig readPool(CheckedTable &table)
{
    PoolConfig pool;
    pool.name = table.text("name");
    pool.service = table.text("service");
    pool.models = table.texts("models");
    if (pool.models.empty()) {
        table.addIssue("models", "no models", "at least one model name");
    }
    pool.slotsPerEndpoint = static_cast<std::uint32_t>(table.number("slots_per_endpoint", 1, maxSlotsPerEndpoint, defaultSlotsPerEndpoint));
    pool.pricePerThousandTokens = table.money("price_per_1k_tokens");
    pool.fencing = table.flag("fencing", false);
    pool.goal = valueIn(policyGoalNames, table.choice("favour", {"programs", "short-calls"}, "programs")).value_or(PolicyGoal::Programs);
    pool.idleTimeout = std::chrono::milliseconds(table.number("idle_timeout_ms", minTimeoutMs, maxTimeoutMs, defaultTimeoutMs));
    table.reportUnknownKeys();
    return pool;
}

ServiceConfig readService(CheckedTable &table)
{
    ServiceConfig service;
    service.name = table.text("name");
    service.service = table.text("service", service.name);
    service.outcomePath = table.text("outcome_path", "");
    service.timeout = std::chrono::milliseconds(table.number("timeout_ms", minTimeoutMs, maxTimeoutMs, defaultTimeoutMs));
    for (CheckedTable &entry : table.tables("route")) {
        RouteConfig route;
        route.prefix = entry.text("prefix");
        route.repeatable = entry.flag("repeatable", false);
        route.price = entry.money("price", 0);
        entry.reportUnknownKeys();
        service.routes.push_back(std::move(route));
    }
    table.reportUnknownKeys();
    return service;
}

void checkReferences(CheckedTable &root, const Configuration &configuration, const std::set<std::string> &organisations)
{
    const auto has = [](const auto &list, const std::string &name) {
        return std::any_of(list.begin(), list.end(), [&name](const auto &entry) {
            return entry.name == name;
        });
    };
    std::vector<CheckedTable> tables = root.tables("program");
    for (std::size_t index = 0; index < configuration.programs.size(); ++index) {
        const ProgramConfig &program = configuration.programs[index];
        if (!organisations.contains(program.organisation)) {
            tables[index].addIssue("organisation", "'" + program.organisation + "'", "the name of an [[organisation]]");
        }
        for (const std::string &pool : program.pools) {
            if (!has(configuration.pools, pool)) {
                tables[index].addIssue("pools", "'" + pool + "'", "names of [[pool]] entries");
            }
        }
        for (const std::string &service : program.services) {
            if (!has(configuration.services, service)) {
                tables[index].addIssue("services", "'" + service + "'", "names of [[service]] entries");
            }
        }
    }
}

} // namespace

std::optional<Configuration> parseConfiguration(const std::string &text, const std::string &file, ConfigIssues &issues)
{
    std::optional<CheckedTable> root = parseToml(text, file, issues);
    if (!root) {
        return std::nullopt;
    }
    Configuration configuration;
    CheckedTable peak = root->table("peak");
    configuration.peakTokensPerMinute = peak.number("tokens_per_minute", 0, maxTokensPerMinute, 0);
    configuration.clockSkew = std::chrono::milliseconds(peak.number("clock_skew_ms", 0, maxClockSkewMs, defaultClockSkewMs));
    peak.reportUnknownKeys();
    std::set<std::string> organisations;
    for (CheckedTable &table : root->tables("organisation")) {
        configuration.organisations.push_back(readOrganisation(table));
        checkUnique(table, organisations, configuration.organisations.back().name);
    }
    std::set<std::string> pools;
    for (CheckedTable &table : root->tables("pool")) {
        configuration.pools.push_back(readPool(table));
        checkUnique(table, pools, configuration.pools.back().name);
    }
    std::set<std::string> services;
    for (CheckedTable &table : root->tables("service")) {
        configuration.services.push_back(readService(table));
        checkUnique(table, services, configuration.services.back().name);
    }
    std::set<std::string> programs;
    for (CheckedTable &table : root->tables("program")) {
        configuration.programs.push_back(readProgram(table));
        checkUnique(table, programs, configuration.programs.back().organisation + "/" + configuration.programs.back().name);
    }
    std::set<std::string> operators;
    for (CheckedTable &table : root->tables("operator")) {
        OperatorConfig entry{table.text("name"), table.text("key_hash")};
        checkHash(table, "key_hash", entry.keyHash);
        table.reportUnknownKeys();
        checkUnique(table, operators, entry.name);
        configuration.operators.push_back(std::move(entry));
    }
    if (configuration.operators.empty()) {
        root->addIssue("operator", "no operator", "at least one [[operator]], as only operators can apply the next configuration");
    }
    checkReferences(*root, configuration, organisations);
    root->reportUnknownKeys();
    configuration.buildIndex();
    return issues.empty() ? std::optional(std::move(configuration)) : std::nullopt;
}

void Configuration::buildIndex()
{
    for (std::size_t position = 0; position < this->organisations.size(); ++position) {
        for (const std::string &hash : this->organisations[position].keyHashes) {
            this->organisationByKeyHash.insert_or_assign(hash, position);
        }
    }
    for (std::size_t position = 0; position < this->programs.size(); ++position) {
        this->programByName.emplace(std::pair(this->programs[position].organisation, this->programs[position].name), position);
    }
}

const ProgramConfig *Configuration::findProgram(const std::string &name, const OrganisationId &organisation) const
{
    const auto found = this->programByName.find(std::pair(organisation, name));
    return found == this->programByName.end() ? nullptr : &this->programs[found->second];
}

const PoolConfig *Configuration::findPoolByModel(const std::string &model) const
{
    for (const PoolConfig &pool : this->pools) {
        if (std::find(pool.models.begin(), pool.models.end(), model) != pool.models.end()) {
            return &pool;
        }
    }
    return nullptr;
}

const ServiceConfig *Configuration::findService(const std::string &name) const
{
    for (const ServiceConfig &service : this->services) {
        if (service.name == name) {
            return &service;
        }
    }
    return nullptr;
}

const OrganisationConfig *Configuration::findOrganisationByKeyHash(const std::string &keyHash) const
{
    // The lookup need not take constant time: its duration reveals at most parts of a hash, from which the key cannot be derived.
    const auto found = this->organisationByKeyHash.find(keyHash);
    return found == this->organisationByKeyHash.end() ? nullptr : &this->organisations[found->second];
}

const OperatorConfig *Configuration::findOperatorByKeyHash(const std::string &keyHash) const
{
    const OperatorConfig *match = nullptr;
    for (const OperatorConfig &entry : this->operators) {
        if (equalsInConstantTime(entry.keyHash, keyHash)) {
            match = &entry;
        }
    }
    return match;
}

const RouteConfig *findRoute(const ServiceConfig &service, const std::string &path)
{
    const RouteConfig *best = nullptr;
    for (const RouteConfig &route : service.routes) {
        if (path.starts_with(route.prefix) && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best;
}

std::string sha256Hex(const std::string &text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr);
    constexpr const char *digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int index = 0; index < size; ++index) {
        hex += digits[digest[index] >> 4U];
        hex += digits[digest[index] & 0xFU];
    }
    return hex;
}

bool equalsInConstantTime(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace oleandergate
