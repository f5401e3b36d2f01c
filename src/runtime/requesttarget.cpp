#include "runtime/requesttarget.h"

#include <boost/url/encode.hpp>
#include <boost/url/grammar/lut_chars.hpp>
#include <boost/url/rfc/pchars.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace oleandergate {

namespace urls = boost::urls;

namespace {

constexpr urls::grammar::lut_chars queryValueChars = urls::unreserved_chars + '/';

} // namespace

std::string escapedSegment(std::string_view text)
{
    return urls::encode(text, urls::pchars);
}

std::string targetWithQuery(std::string_view path, std::initializer_list<QueryParameter> parameters)
{
    std::string target(path);
    char separator = '?';
    for (const QueryParameter &parameter : parameters) {
        target += separator;
        target += parameter.name;
        target += '=';
        target += urls::encode(parameter.value, queryValueChars);
        separator = '&';
    }
    return target;
}

} // namespace oleandergate
