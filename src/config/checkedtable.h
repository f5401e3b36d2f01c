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

//! Parses \p text as TOML. Returns nothing, and adds an issue, on a syntax error.
std::optional<CheckedTable> parseToml(const std::string &text, const std::string &file, ConfigIssues &issues);

//! Reads one TOML table key by key and records every fault with its line.
class CheckedTable
{
public:
    struct Node;

    CheckedTable(std::shared_ptr<const Node> node, std::string path, ConfigIssues &issues);

    //! Returns a text; \p fallback when the key is absent, or an issue when there is no fallback.
    std::string text(const std::string &key, std::optional<std::string> fallback = std::nullopt);

    //! Returns a whole number within [\p minimum, \p maximum].
    std::int64_t number(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::optional<std::int64_t> fallback = std::nullopt);

    //! Returns a number, with or without decimals, within [\p minimum, \p maximum].
    double decimal(const std::string &key, double minimum, double maximum, std::optional<double> fallback = std::nullopt);

    //! Returns an amount of money, written as a decimal text such as "2.50", in millionths.
    std::int64_t money(const std::string &key, std::optional<std::int64_t> fallback = std::nullopt);

    bool flag(const std::string &key, bool fallback);

    //! Returns one of \p allowed.
    std::string choice(const std::string &key, const std::vector<std::string> &allowed, std::optional<std::string> fallback = std::nullopt);

    //! Returns a list of texts, empty when the key is absent.
    std::vector<std::string> texts(const std::string &key);

    //! Returns the table \p key, empty when it is absent.
    CheckedTable table(const std::string &key);

    //! Returns the tables of the array \p key.
    std::vector<CheckedTable> tables(const std::string &key);

    //! Records an issue for \p key.
    void addIssue(const std::string &key, const std::string &found, const std::string &allowed);

    //! Records an issue for each key that was not asked for.
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
