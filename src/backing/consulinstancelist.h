#ifndef OLEANDERGATE_BACKING_CONSULINSTANCELIST_H
#define OLEANDERGATE_BACKING_CONSULINSTANCELIST_H

#include "backing/interfaces/instancelist.h"

namespace oleandergate {

class HttpClient;

//! Instance list that speaks the health part of Consul's HTTP protocol. The service's metadata carries the failure
//! domain as "domain" and "leaving" as "state" while an instance is on its way out.
class ConsulInstanceList : public InstanceList
{
public:
    ConsulInstanceList(HttpClient &client, std::string address, Duration timeout);

    boost::asio::awaitable<Result<std::vector<EndpointSpec>>> instancesOf(std::string service) override;

private:
    HttpClient &client;
    std::string address;
    Duration timeout;
};

} // namespace oleandergate

#endif
