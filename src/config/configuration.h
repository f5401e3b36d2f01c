#ifndef OLEANDERGATE_CONFIG_CONFIGURATION_H
#define OLEANDERGATE_CONFIG_CONFIGURATION_H

#include "config/configissue.h"
#include "decision/ids.h"
#include "decision/policyoptions.h"
#include "decision/time.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace oleandergate {

//! An organisation that runs programs.
struct OrganisationConfig
{
    OrganisationId name{};
    std::vector<std::string> keyHashes{}; //!< SHA-256 of each API key, as 64 lower-case hexadecimal digits.
};

//! A kind of program that an organisation may start.
struct ProgramConfig
{
    std::string name{};
    OrganisationId organisation{};
    MicroUnits budget = 0; //!< Per program.
    int priority = 0; //!< From 0 to 100.
    std::uint32_t maxTurns = 0;
    Duration deadline{}; //!< From the start of a program.
    std::vector<std::string> pools{}; //!< Names of the pools that it may call.
    std::vector<std::string> services{}; //!< Names of the services that it may call.
};

//! A pool of model engines.
struct PoolConfig
{
    std::string name{};
    std::string service{}; //!< Name under which the instance list knows the endpoints.
    std::vector<std::string> models{};
    std::uint32_t slotsPerEndpoint = 8;
    MicroUnits pricePerThousandTokens = 0;
    bool fencing = false; //!< The engines reject requests with an outdated fencing number.
    Duration idleTimeout{}; //!< Longest time without data on a stream.
    PolicyGoal goal = PolicyGoal::Programs;
};

//! One path prefix of a service.
struct RouteConfig
{
    std::string prefix{};
    bool repeatable = false; //!< Requests are idempotent and may be sent again after a failure.
    MicroUnits price = 0; //!< Per call.
};

//! A service other than a model engine, such as a tool.
struct ServiceConfig
{
    std::string name{};
    std::string service{}; //!< Name under which the instance list knows the endpoints.
    std::vector<RouteConfig> routes{};
    std::string outcomePath{}; //!< Path at which the service returns the outcome of an idempotency key; empty if it has none.
    Duration timeout{};
};

//! An operator of the administration API.
struct OperatorConfig
{
    std::string name{};
    std::string keyHash{}; //!< SHA-256 of the operator's key, as 64 lower-case hexadecimal digits.
};

//! The configuration that all instances share.
struct Configuration
{
    Tokens peakTokensPerMinute = 0; //!< Most tokens per minute over all instances; 0 for no limit.
    Duration clockSkew{}; //!< Largest difference between the clock of an instance and the clock by which the supplier counts minutes.
    std::vector<OrganisationConfig> organisations{};
    std::vector<ProgramConfig> programs{};
    std::vector<PoolConfig> pools{};
    std::vector<ServiceConfig> services{};
    std::vector<OperatorConfig> operators{};

    //! Returns nullptr if there is no such entry, as all find functions do.
    const ProgramConfig *findProgram(const std::string &name, const OrganisationId &organisation) const;
    const PoolConfig *findPoolByModel(const std::string &model) const;
    const ServiceConfig *findService(const std::string &name) const;

    //! Returns the organisation that has a key with the SHA-256 \p keyHash.
    const OrganisationConfig *findOrganisationByKeyHash(const std::string &keyHash) const;
    const OperatorConfig *findOperatorByKeyHash(const std::string &keyHash) const;

    //! Builds the indexes that findProgram() and findOrganisationByKeyHash() use; to be called after all entries are added.
    void buildIndex();

private:
    std::unordered_map<std::string, std::size_t> organisationByKeyHash{}; //!< Index into organisations by key hash.
    std::map<std::pair<OrganisationId, std::string>, std::size_t> programByName{}; //!< Index into programs by organisation and name.
};

//! Returns the route with the longest prefix that \p path starts with, or nullptr.
const RouteConfig *findRoute(const ServiceConfig &service, const std::string &path);

//! Parses a configuration document in TOML. Adds what is invalid to \p issues, and returns nothing unless \p issues is empty.
std::optional<Configuration> parseConfiguration(const std::string &text, const std::string &file, ConfigIssues &issues);

//! Returns the SHA-256 of \p text as 64 lower-case hexadecimal digits.
std::string sha256Hex(const std::string &text);

//! Compares two strings in a time that depends only on their lengths.
bool equalsInConstantTime(const std::string &left, const std::string &right);

} // namespace oleandergate

#endif
