#ifndef OLEANDERGATE_RUNTIME_JSONACCESS_H
#define OLEANDERGATE_RUNTIME_JSONACCESS_H

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace oleandergate {

//! Returns the object in \p text; an empty one when there is none.
boost::json::object parseJsonObject(std::string_view text);

//! Returns the text at \p key; empty when there is none.
std::string jsonText(const boost::json::object &object, std::string_view key);

//! Returns the whole number at \p key, also when it is written as a text; \p fallback when there is none.
std::int64_t jsonNumber(const boost::json::object &object, std::string_view key, std::int64_t fallback = 0);

//! Returns true when \p key holds true.
bool jsonFlag(const boost::json::object &object, std::string_view key);

//! Returns the objects of the list at \p key, without its other entries; none when there is no list.
std::vector<boost::json::object> jsonObjects(const boost::json::object &object, std::string_view key);

} // namespace oleandergate

#endif
