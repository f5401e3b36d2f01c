#include "decision/organisationtable.h"

#include "decision/hash.h"

namespace oleandergate {

OrganisationTable::OrganisationTable(const std::vector<Organisation> &organisations)
    : organisations(organisations)
{
    for (std::size_t index = 0; index < this->organisations.size(); ++index) {
        const Organisation &organisation = this->organisations[index];
        this->indexByHash.emplace(organisationHash(organisation.name), index);
        for (const std::string &keyHash : organisation.keyHashes) {
            this->indexByKeyHash.emplace(keyHash, index);
        }
    }
}

const Organisation *OrganisationTable::findByKeyHash(const std::string &keyHash) const
{
    const auto found = this->indexByKeyHash.find(keyHash);
    return found == this->indexByKeyHash.end() ? nullptr : &this->organisations[found->second];
}

const Organisation *OrganisationTable::findByHash(std::uint64_t hash) const
{
    const auto found = this->indexByHash.find(hash);
    return found == this->indexByHash.end() ? nullptr : &this->organisations[found->second];
}

std::size_t OrganisationTable::size() const
{
    return this->organisations.size();
}

std::uint64_t organisationHash(const OrganisationId &name)
{
    return hashOf(name);
}

} // namespace oleandergate
