#include "support/querytext.h"

#include "runtime/httpmessage.h"

#include <boost/url/decode_view.hpp>

namespace oleandergate::support {

namespace urls = boost::urls;

std::string queryText(const std::string &target, const std::string &name)
{
    HttpRequest request;
    request.target = target.substr(0, target.find('#'));
    const std::string value = request.query(name);
    const auto encoded = urls::make_pct_string_view(value);
    if (!encoded) {
        return {};
    }
    urls::encoding_opts options;
    options.space_as_plus = true;
    std::string decoded;
    for (const char character : urls::decode_view(*encoded, options)) {
        decoded += character;
    }
    return decoded;
}

} // namespace oleandergate::support
