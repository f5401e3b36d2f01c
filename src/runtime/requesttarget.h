#ifndef OLEANDERGATE_RUNTIME_REQUESTTARGET_H
#define OLEANDERGATE_RUNTIME_REQUESTTARGET_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace oleandergate {

//! A parameter of a query, as it is understood: not escaped.
struct QueryParameter
{
    std::string_view name{};
    std::string_view value{};
};

//! Returns \p text as one segment of a path, with the characters percent-encoded that no segment may have (RFC 3986). The segments "." and ".." stay as they
//! are.
std::string escapedSegment(std::string_view text);

//! Returns \p path, which is taken as it is, with a query of \p parameters. Their values are percent-encoded but for unreserved characters and slashes.
std::string targetWithQuery(std::string_view path, std::initializer_list<QueryParameter> parameters);

} // namespace oleandergate

#endif
