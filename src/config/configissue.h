#ifndef OLEANDERGATE_CONFIG_CONFIGISSUE_H
#define OLEANDERGATE_CONFIG_CONFIGISSUE_H

#include <cstdint>
#include <string>
#include <vector>

namespace oleandergate {

//! One fault in a TOML document.
struct ConfigIssue
{
    std::string file{};
    std::uint32_t line = 0; //!< From 1; 0 when the document as a whole is meant.
    std::string key{};
    std::string found{};
    std::string allowed{};
};

using ConfigIssues = std::vector<ConfigIssue>;

//! Returns \p issue as one line of text.
std::string describe(const ConfigIssue &issue);

//! Returns all \p issues, one a line.
std::string describe(const ConfigIssues &issues);

} // namespace oleandergate

#endif
