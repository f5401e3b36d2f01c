#ifndef OLEANDERGATE_CONFIG_CONFIGISSUE_H
#define OLEANDERGATE_CONFIG_CONFIGISSUE_H

#include <cstdint>
#include <string>
#include <vector>

namespace oleandergate {

//! One invalid value, unknown key or syntax error in a TOML document.
struct ConfigIssue
{
    std::string file{};
    std::uint32_t line = 0; //!< Starts at 1; 0 for an issue about the whole document or an absent table.
    std::string key{}; //!< Path of the key, such as "program[0].budget"; "(syntax)" for a syntax error.
    std::string found{}; //!< What the document contains.
    std::string allowed{}; //!< Description of the valid values.
};

using ConfigIssues = std::vector<ConfigIssue>;

//! Returns \p issue as one line of text, without a line break.
std::string describe(const ConfigIssue &issue);

//! Returns all \p issues, one per line.
std::string describe(const ConfigIssues &issues);

} // namespace oleandergate

#endif
