#include "runtime/httpmessage.h"

#include <boost/algorithm/string/predicate.hpp>

namespace oleandergate {

namespace {

std::string findHeader(const std::vector<HttpHeader> &headers, const std::string &name)
{
    for (const HttpHeader &header : headers) {
        if (boost::algorithm::iequals(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

} // namespace

std::string HttpRequest::header(const std::string &name) const
{
    return findHeader(this->headers, name);
}

std::string HttpRequest::path() const
{
    return this->target.substr(0, this->target.find('?'));
}

std::string HttpRequest::query(const std::string &name) const
{
    std::size_t position = this->target.find('?');
    while (position != std::string::npos) {
        const std::size_t start = position + 1;
        position = this->target.find('&', start);
        const std::string pair = this->target.substr(start, position == std::string::npos ? position : position - start);
        if (pair.starts_with(name + "=")) {
            return pair.substr(name.size() + 1);
        }
    }
    return {};
}

HttpResponse makeResponse(int status, const std::string &contentType, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.contentType = contentType;
    response.body = std::move(body);
    return response;
}

HttpResponse jsonResponse(std::string body, int status)
{
    return makeResponse(status, "application/json", std::move(body));
}

std::string HttpResponse::header(const std::string &name) const
{
    return findHeader(this->headers, name);
}

} // namespace oleandergate
