#ifndef OLEANDERGATE_RUNTIME_HTTPMESSAGE_H
#define OLEANDERGATE_RUNTIME_HTTPMESSAGE_H

#include <string>
#include <vector>

namespace oleandergate {

//! A header field.
struct HttpHeader
{
    std::string name{};
    std::string value{};
};

//! A request received by a server.
struct HttpRequest
{
    std::string method{};
    std::string target{}; //!< Path and query.
    std::vector<HttpHeader> headers{};
    std::string body{};
    std::string peer{}; //!< Address and port of the caller.

    //! Returns the value of the first header field \p name, ignoring case; empty when there is none.
    std::string header(const std::string &name) const;

    //! Returns the target without its query.
    std::string path() const;

    //! Returns the value of a query parameter, not percent-decoded; empty when there is none.
    std::string query(const std::string &name) const;
};

//! A response that a server sends or a client received.
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body{};
    std::vector<HttpHeader> headers{};
    bool endsWithConnection = false; //!< Received with neither a length nor chunks: the body lasts until its connection ends.
    std::string bytesBehind{}; //!< What followed it on its connection, if that was asked for.

    //! Returns the value of the first header field \p name, ignoring case; empty when there is none.
    std::string header(const std::string &name) const;
};

//! Returns a response without further header fields.
HttpResponse makeResponse(int status, const std::string &contentType, std::string body);

//! Returns a JSON response.
HttpResponse jsonResponse(std::string body, int status = 200);

} // namespace oleandergate

#endif
