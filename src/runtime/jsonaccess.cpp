#include "runtime/jsonaccess.h"

#include <boost/json.hpp>

#include <cstdlib>

namespace oleandergate {

namespace json = boost::json;

json::object parseJsonObject(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    return error || !value.is_object() ? json::object() : value.get_object();
}

std::string jsonText(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::int64_t jsonNumber(const json::object &object, std::string_view key, std::int64_t fallback)
{
    constexpr int decimal = 10;
    const json::value *value = object.if_contains(key);
    if (value != nullptr && value->is_string()) {
        return std::strtoll(value->get_string().c_str(), nullptr, decimal);
    }
    return value != nullptr && value->is_int64() ? value->get_int64() : fallback;
}

bool jsonFlag(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::vector<json::object> jsonObjects(const json::object &object, std::string_view key)
{
    std::vector<json::object> found;
    const json::value *list = object.if_contains(key);
    if (list == nullptr || !list->is_array()) {
        return found;
    }
    for (const json::value &entry : list->get_array()) {
        if (entry.is_object()) {
            found.push_back(entry.get_object());
        }
    }
    return found;
}

} // namespace oleandergate
