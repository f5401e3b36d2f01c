#include "config/checkedtable.h"

#include <toml++/toml.h>

#include <charconv>
#include <sstream>

namespace oleandergate {

struct CheckedTable::Node
{
    std::shared_ptr<const toml::table> root{}; //!< Shared ownership of the document that \ref table points into.
    const toml::table *table = nullptr;
    std::string file{};
};

namespace {

constexpr std::int64_t microUnitsPerUnit = 1000000;
constexpr std::size_t maxDecimals = 6;
constexpr std::size_t maxFoundCharacters = 60;
constexpr unsigned char firstByteOutsideAscii = 0x80;

std::string format(const toml::node &node)
{
    std::ostringstream out;
    node.visit([&out](const auto &value) {
        out << value;
    });
    std::string text = out.str();
    if (text.size() > maxFoundCharacters) {
        text = text.substr(0, maxFoundCharacters) + "...";
    }
    return text;
}

std::optional<std::int64_t> parseMoney(const std::string &text)
{
    const std::size_t point = text.find('.');
    const std::string whole = text.substr(0, point);
    std::string fraction = point == std::string::npos ? "" : text.substr(point + 1);
    const bool digits = (whole + fraction).find_first_not_of("0123456789") == std::string::npos;
    constexpr std::size_t maxWholeDigits = 9;
    if (whole.empty() || !digits || whole.size() > maxWholeDigits || fraction.size() > maxDecimals || (point != std::string::npos && fraction.empty())) {
        return std::nullopt;
    }
    fraction.resize(maxDecimals, '0');
    return std::stoll(whole) * microUnitsPerUnit + std::stoll(fraction);
}

//! Returns the number of the first line with a non-ASCII byte outside quoted strings and comments; 0 if there is none.
std::uint32_t lineOfUnquotedNonAscii(const std::string &text)
{
    std::uint32_t line = 1;
    char quote = 0;
    bool comment = false;
    bool escaped = false;
    for (const char character : text) {
        const bool startsEscape = quote == '"' && character == '\\' && !escaped;
        if (character == '\n') {
            line += 1;
            quote = 0;
            comment = false;
        } else if (quote != 0) {
            quote = character == quote && !escaped ? char(0) : quote;
        } else if (!comment && (character == '"' || character == '\'')) {
            quote = character;
        } else if (character == '#') {
            comment = true;
        } else if (!comment && static_cast<unsigned char>(character) >= firstByteOutsideAscii) {
            return line;
        }
        escaped = startsEscape;
    }
    return 0;
}

} // namespace

std::optional<CheckedTable> parseToml(const std::string &text, const std::string &file, ConfigIssues &issues)
{
    // toml++'s white space check has undefined behaviour for most non-ASCII characters.
    if (const std::uint32_t line = lineOfUnquotedNonAscii(text)) {
        issues.push_back(ConfigIssue{file, line, "(syntax)", "a non-ASCII character outside quoted strings and comments", "a TOML document"});
        return std::nullopt;
    }
    try {
        auto root = std::make_shared<const toml::table>(toml::parse(text, file));
        auto node = std::make_shared<const CheckedTable::Node>(CheckedTable::Node{root, root.get(), file});
        return CheckedTable(std::move(node), "", issues);
    } catch (const toml::parse_error &error) {
        issues.push_back(ConfigIssue{file, error.source().begin.line, "(syntax)", std::string(error.description()), "a TOML document"});
        return std::nullopt;
    }
}

CheckedTable::CheckedTable(std::shared_ptr<const Node> node, std::string path, ConfigIssues &issues)
    : node(std::move(node))
    , path(std::move(path))
    , issues(&issues)
{
}

std::string CheckedTable::pathOf(const std::string &key) const
{
    return this->path.empty() ? key : this->path + "." + key;
}

void CheckedTable::addIssue(const std::string &key, const std::string &found, const std::string &allowed)
{
    std::uint32_t line = this->node->table == nullptr ? 0 : this->node->table->source().begin.line;
    if (this->node->table != nullptr) {
        if (const toml::node *value = this->node->table->get(key)) {
            line = value->source().begin.line;
        }
    }
    this->issues->push_back(ConfigIssue{this->node->file, line, this->pathOf(key), found, allowed});
}

std::string CheckedTable::text(const std::string &key, std::optional<std::string> fallback)
{
    this->knownKeys.insert(key);
    const toml::node *value = this->node->table == nullptr ? nullptr : this->node->table->get(key);
    if (value == nullptr) {
        if (!fallback) {
            this->addIssue(key, "no value", "a string");
        }
        return fallback.value_or("");
    }
    const auto text = value->value_exact<std::string>();
    if (!text) {
        this->addIssue(key, format(*value), "a string");
    }
    return text.value_or("");
}

std::int64_t CheckedTable::number(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::optional<std::int64_t> fallback)
{
    this->knownKeys.insert(key);
    const toml::node *value = this->node->table == nullptr ? nullptr : this->node->table->get(key);
    const std::string range = "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    if (value == nullptr) {
        if (!fallback) {
            this->addIssue(key, "no value", range);
        }
        return fallback.value_or(minimum);
    }
    const auto number = value->value_exact<std::int64_t>();
    if (!number || *number < minimum || *number > maximum) {
        this->addIssue(key, format(*value), range);
        return minimum;
    }
    return *number;
}

double CheckedTable::decimal(const std::string &key, double minimum, double maximum, std::optional<double> fallback)
{
    this->knownKeys.insert(key);
    const toml::node *value = this->node->table == nullptr ? nullptr : this->node->table->get(key);
    const std::string range = "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    if (value == nullptr) {
        if (!fallback) {
            this->addIssue(key, "no value", range);
        }
        return fallback.value_or(minimum);
    }
    const auto number = value->value<double>();
    if (!number || !value->is_number() || *number < minimum || *number > maximum) {
        this->addIssue(key, format(*value), range);
        return minimum;
    }
    return *number;
}

std::int64_t CheckedTable::money(const std::string &key, std::optional<std::int64_t> fallback)
{
    this->knownKeys.insert(key);
    const toml::node *value = this->node->table == nullptr ? nullptr : this->node->table->get(key);
    const std::string allowed = "an amount as a string such as \"2.50\", with at most nine digits before and six after the point";
    if (value == nullptr) {
        if (!fallback) {
            this->addIssue(key, "no value", allowed);
        }
        return fallback.value_or(0);
    }
    const auto text = value->value_exact<std::string>();
    const auto amount = text ? parseMoney(*text) : std::nullopt;
    if (!amount) {
        this->addIssue(key, format(*value), allowed);
    }
    return amount.value_or(0);
}

bool CheckedTable::flag(const std::string &key, bool fallback)
{
    this->knownKeys.insert(key);
    const toml::node *value = this->node->table == nullptr ? nullptr : this->node->table->get(key);
    if (value == nullptr) {
        return fallback;
    }
    const auto flag = value->value_exact<bool>();
    if (!flag) {
        this->addIssue(key, format(*value), "true or false");
    }
    return flag.value_or(fallback);
}

std::string CheckedTable::choice(const std::string &key, const std::vector<std::string> &allowed, std::optional<std::string> fallback)
{
    const std::size_t before = this->issues->size();
    std::string text = this->text(key, std::move(fallback));
    std::string list;
    for (const std::string &option : allowed) {
        if (option == text) {
            return text;
        }
        list += (list.empty() ? "" : ", ") + option;
    }
    if (this->issues->size() == before) {
        this->addIssue(key, "'" + text + "'", "one of " + list);
    }
    return allowed.front();
}

std::vector<std::string> CheckedTable::texts(const std::string &key)
{
    this->knownKeys.insert(key);
    std::vector<std::string> found;
    const toml::node *value = this->node->table == nullptr ? nullptr : this->node->table->get(key);
    if (value == nullptr) {
        return found;
    }
    const toml::array *list = value->as_array();
    if (list == nullptr) {
        this->addIssue(key, format(*value), "an array of strings");
        return found;
    }
    for (const toml::node &element : *list) {
        const auto text = element.value_exact<std::string>();
        if (!text) {
            this->addIssue(key, format(element), "an array of strings");
        } else {
            found.push_back(*text);
        }
    }
    return found;
}

CheckedTable CheckedTable::table(const std::string &key)
{
    this->knownKeys.insert(key);
    const toml::node *value = this->node->table == nullptr ? nullptr : this->node->table->get(key);
    const toml::table *table = value == nullptr ? nullptr : value->as_table();
    if (value != nullptr && table == nullptr) {
        this->addIssue(key, format(*value), "a table [" + this->pathOf(key) + "]");
    }
    return CheckedTable(std::make_shared<const Node>(Node{this->node->root, table, this->node->file}), this->pathOf(key), *this->issues);
}

std::vector<CheckedTable> CheckedTable::tables(const std::string &key)
{
    this->knownKeys.insert(key);
    std::vector<CheckedTable> found;
    const toml::node *value = this->node->table == nullptr ? nullptr : this->node->table->get(key);
    if (value == nullptr) {
        return found;
    }
    const toml::array *list = value->as_array();
    if (list == nullptr || !list->is_homogeneous(toml::node_type::table)) {
        this->addIssue(key, format(*value), "tables [[" + this->pathOf(key) + "]]");
        return found;
    }
    for (std::size_t index = 0; index < list->size(); ++index) {
        auto element = std::make_shared<const Node>(Node{this->node->root, (*list)[index].as_table(), this->node->file});
        found.emplace_back(std::move(element), this->pathOf(key) + "[" + std::to_string(index) + "]", *this->issues);
    }
    return found;
}

void CheckedTable::reportUnknownKeys()
{
    if (this->node->table == nullptr) {
        return;
    }
    for (const auto &[key, value] : *this->node->table) {
        if (!this->knownKeys.contains(std::string(key.str()))) {
            std::string list;
            for (const std::string &name : this->knownKeys) {
                list += (list.empty() ? "" : ", ") + name;
            }
            this->issues->push_back(ConfigIssue{this->node->file, value.source().begin.line, this->pathOf(std::string(key.str())), "an unknown key", list});
        }
    }
}

} // namespace oleandergate
