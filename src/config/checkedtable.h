#ifndef OLEANDERGATE_CONFIG_CHECKEDTABLE_H
#define OLEANDERGATE_CONFIG_CHECKEDTABLE_H

#include "config/configissue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleandergate {

class CheckedTable;

//! Parses \p text as TOML. Adds an issue and returns nothing on a syntax error. \p file is the name that issues state.
std::optional<CheckedTable> parseToml(const std::string &text, const std::string &file, ConfigIssues &issues);

//! Reads and validates one TOML table key by key, and records each invalid value with its line.
//!
//! A value that is missing or invalid yields a valid substitute, so that reading continues and reports all issues at once. An absent
//! key yields \p fallback, or an issue when there is no fallback.
class CheckedTable
{
public:
    struct Node;

    CheckedTable(std::shared_ptr<const Node> node, std::string path, ConfigIssues &issues);

    //! Returns a string.
    std::string text(const std::string &key, std::optional<std::string> fallback = std::nullopt);

    //! Returns an integer within [\p minimum, \p maximum].
    std::int64_t number(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::optional<std::int64_t> fallback = std::nullopt);

    //! Returns an integer or floating-point number within [\p minimum, \p maximum].
    double decimal(const std::string &key, double minimum, double maximum, std::optional<double> fallback = std::nullopt);

    //! Returns an amount of money in millionths of a unit. In the document it is a decimal string such as "2.50".
    std::int64_t money(const std::string &key, std::optional<std::int64_t> fallback = std::nullopt);

    //! Returns a boolean.
    bool flag(const std::string &key, bool fallback);

    //! Returns a string that is one of \p allowed.
    std::string choice(const std::string &key, const std::vector<std::string> &allowed, std::optional<std::string> fallback = std::nullopt);

    //! Returns an array of strings, empty when the key is absent.
    std::vector<std::string> texts(const std::string &key);

    //! Returns the table \p key, empty when it is absent.
    CheckedTable table(const std::string &key);

    //! Returns the tables of the array of tables \p key, empty when it is absent.
    std::vector<CheckedTable> tables(const std::string &key);

    //! Records an issue for \p key: \p found is the invalid value, \p allowed describes the valid ones.
    void addIssue(const std::string &key, const std::string &found, const std::string &allowed);

    //! Records an issue for each key of the table that none of the functions above was called with.
    void reportUnknownKeys();

private:
    std::string pathOf(const std::string &key) const;

    std::shared_ptr<const Node> node;
    std::string path;
    ConfigIssues *issues;
    std::set<std::string> knownKeys;
};

} // namespace oleandergate

#endif
