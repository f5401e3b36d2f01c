#ifndef OLEANDERGATE_RUNTIME_HTTPMESSAGE_H
#define OLEANDERGATE_RUNTIME_HTTPMESSAGE_H

#include <string>
#include <vector>

namespace oleandergate {

//! One header field.
struct HttpHeader
{
    std::string name{};
    std::string value{};
};

//! A request as a server received it.
struct HttpRequest
{
    std::string method{};
    std::string target{}; //!< Path and query.
    std::vector<HttpHeader> headers{};
    std::string body{};
    std::string peer{}; //!< Address of the caller.

    //! Returns the value of \p name, compared without case; empty when the field is absent.
    std::string header(const std::string &name) const;

    //! Returns the target without its query.
    std::string path() const;

    //! Returns a query parameter; empty when it is absent.
    std::string query(const std::string &name) const;
};

//! A response.
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body{};
    std::vector<HttpHeader> headers{};

    std::string header(const std::string &name) const;
};

//! Returns a response without further header fields.
HttpResponse makeResponse(int status, const std::string &contentType, std::string body);

//! Returns a JSON response.
HttpResponse jsonResponse(std::string body, int status = 200);

} // namespace oleandergate

#endif
