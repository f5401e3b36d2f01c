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
    std::vector<std::string> keyHashes{}; //!< SHA-256 of each key, in hexadecimal digits.
};

//! A kind of program that an organisation may start.
struct ProgramConfig
{
    std::string name{};
    OrganisationId organisation{};
    MicroUnits budget = 0;
    int priority = 0;
    std::uint32_t maxTurns = 0;
    Duration deadline{};
    std::vector<std::string> pools{};
    std::vector<std::string> services{};
};

//! A pool of model engines.
struct PoolConfig
{
    std::string name{};
    std::string service{}; //!< Name in the instance list.
    std::vector<std::string> models{};
    std::uint32_t slotsPerEndpoint = 8;
    MicroUnits pricePerThousandTokens = 0;
    bool fencing = false; //!< The engines refuse an old fencing number.
    Duration idleTimeout{}; //!< Longest silence of a stream.
    Favour goal = Favour::Programs;
};

//! One path of a plain service.
struct RouteConfig
{
    std::string prefix{};
    bool repeatable = false;
    MicroUnits price = 0;
};

//! A plain service.
struct ServiceConfig
{
    std::string name{};
    std::string service{}; //!< Name in the instance list.
    std::vector<RouteConfig> routes{};
    std::string outcomePath{}; //!< Where the service tells the outcome of an idempotency key; empty when it cannot.
    Duration timeout{};
};

//! An operator of the administration API.
struct OperatorConfig
{
    std::string name{};
    std::string keyHash{};
};

//! The whole configuration in force.
struct Configuration
{
    Tokens peakTokensPerMinute = 0; //!< 0 for no cap.
    Duration clockSkew{}; //!< Largest difference between an instance's clock and the supplier's.
    std::vector<OrganisationConfig> organisations{};
    std::vector<ProgramConfig> programs{};
    std::vector<PoolConfig> pools{};
    std::vector<ServiceConfig> services{};
    std::vector<OperatorConfig> operators{};

    const ProgramConfig *findProgram(const std::string &name, const OrganisationId &organisation) const;
    const PoolConfig *findPoolByModel(const std::string &model) const;
    const ServiceConfig *findService(const std::string &name) const;

    //! Returns the organisation whose key hashes to \p keyHash.
    const OrganisationConfig *findOrganisationByKeyHash(const std::string &keyHash) const;
    const OperatorConfig *findOperatorByKeyHash(const std::string &keyHash) const;

    //! Makes organisations and programs findable; called once all are read.
    void buildIndex();

private:
    std::unordered_map<std::string, std::size_t> organisationByKeyHash{}; //!< Position by the key's hash.
    std::map<std::pair<OrganisationId, std::string>, std::size_t> programByName{}; //!< Position by organisation and name.
};

//! Returns the longest route that is a prefix of \p path, or nullptr.
const RouteConfig *findRoute(const ServiceConfig &service, const std::string &path);

//! Reads a configuration document. Returns nothing when \p issues were found.
std::optional<Configuration> parseConfiguration(const std::string &text, const std::string &file, ConfigIssues &issues);

//! Returns the SHA-256 of \p text in hexadecimal digits.
std::string sha256Hex(const std::string &text);

//! Compares two texts in a time that depends on their lengths alone.
bool equalsInConstantTime(const std::string &left, const std::string &right);

} // namespace oleandergate

#endif
