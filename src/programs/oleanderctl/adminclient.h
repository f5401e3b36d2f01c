#ifndef OLEANDERGATE_PROGRAMS_OLEANDERCTL_ADMINCLIENT_H
#define OLEANDERGATE_PROGRAMS_OLEANDERCTL_ADMINCLIENT_H

#include "runtime/httpmessage.h"

#include <optional>
#include <string>

namespace oleandergate {

//! Calls the administration API of one entry instance.
class AdminClient
{
public:
    AdminClient(std::string address, std::string key);

    //! Sends a request and returns the response. Prints the reason to standard error and returns nothing when the instance does not answer.
    //! \p ifMatch is the value of the If-Match header; empty for none.
    std::optional<HttpResponse> send(const std::string &method, const std::string &target, const std::string &body = "", const std::string &ifMatch = "");

private:
    std::string address;
    std::string key;
};

} // namespace oleandergate

#endif
