#ifndef OLEANDERGATE_DECISION_NAMETABLE_H
#define OLEANDERGATE_DECISION_NAMETABLE_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace oleandergate {

//! One row of a table that names the values of an enumeration.
template <typename Enum>
struct NamedValue
{
    Enum value;
    std::string_view name;
};

//! Returns the name of \p value, or "unnamed" when the table lacks a row for it.
template <typename Enum, std::size_t Size>
constexpr std::string_view nameIn(const std::array<NamedValue<Enum>, Size> &table, Enum value)
{
    for (const NamedValue<Enum> &row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "unnamed";
}

//! Returns the value called \p name, if the table has one.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueIn(const std::array<NamedValue<Enum>, Size> &table, std::string_view name)
{
    for (const NamedValue<Enum> &row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace oleandergate

#endif
