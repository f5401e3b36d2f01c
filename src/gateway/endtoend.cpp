#include "gateway/endtoend.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <set>

namespace oleandergate {

namespace {

const std::set<std::string> &connectionHeaders()
{
    static const std::set<std::string> names{"connection",
                                             "keep-alive",
                                             "proxy-authenticate",
                                             "proxy-authorization",
                                             "proxy-connection",
                                             "te",
                                             "trailer",
                                             "transfer-encoding",
                                             "upgrade",
                                             "content-length",
                                             "expect"};
    return names;
}

} // namespace

std::vector<HttpHeader> endToEndHeaders(const std::vector<HttpHeader> &headers)
{
    std::set<std::string> dropped = connectionHeaders();
    for (const HttpHeader &header : headers) {
        if (!boost::algorithm::iequals(header.name, "connection")) {
            continue;
        }
        std::vector<std::string> names;
        boost::algorithm::split(names, header.value, boost::algorithm::is_any_of(","));
        for (std::string &name : names) {
            boost::algorithm::trim(name);
            dropped.insert(boost::algorithm::to_lower_copy(name));
        }
    }
    std::vector<HttpHeader> kept;
    for (const HttpHeader &header : headers) {
        if (!dropped.contains(boost::algorithm::to_lower_copy(header.name))) {
            kept.push_back(header);
        }
    }
    return kept;
}

} // namespace oleandergate
