#ifndef OLEANDERGATE_DECISION_ORGANISATIONTABLE_H
#define OLEANDERGATE_DECISION_ORGANISATIONTABLE_H

#include "decision/organisation.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace oleandergate {

//! Finds organisations by the hash of one of their keys, or by the hash of their name, each with one look-up.
class OrganisationTable
{
public:
    OrganisationTable() = default;
    explicit OrganisationTable(const std::vector<Organisation> &organisations);

    //! Returns the organisation that has a key with the SHA-256 \p keyHash; nullptr for none.
    const Organisation *findByKeyHash(const std::string &keyHash) const;

    //! Returns the organisation whose name has the hash \p hash, as organisationHash() has it; nullptr for none.
    const Organisation *findByHash(std::uint64_t hash) const;

    std::size_t size() const;

private:
    std::vector<Organisation> organisations;
    std::unordered_map<std::string, std::size_t> indexByKeyHash;
    std::unordered_map<std::uint64_t, std::size_t> indexByHash;
};

//! Returns the hash by which instances refer to an organisation in messages.
std::uint64_t organisationHash(const OrganisationId &name);

} // namespace oleandergate

#endif
