#ifndef OLEANDERGATE_RUNTIME_JSONACCESS_H
#define OLEANDERGATE_RUNTIME_JSONACCESS_H

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace oleandergate {

//! Parses \p text. Returns an empty object when it is not valid JSON or not an object.
boost::json::object parseJsonObject(std::string_view text);

//! Returns the string at \p key; empty when there is none.
std::string jsonText(const boost::json::object &object, std::string_view key);

//! Returns the integer at \p key, which may also be written as a string; \p fallback when there is none.
std::int64_t jsonNumber(const boost::json::object &object, std::string_view key, std::int64_t fallback = 0);

//! Returns whether the value at \p key is true.
bool jsonFlag(const boost::json::object &object, std::string_view key);

//! Returns the objects in the array at \p key, skipping elements of other types; none when there is no array.
std::vector<boost::json::object> jsonObjects(const boost::json::object &object, std::string_view key);

} // namespace oleandergate

#endif
