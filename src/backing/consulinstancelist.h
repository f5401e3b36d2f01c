#ifndef OLEANDERGATE_BACKING_CONSULINSTANCELIST_H
#define OLEANDERGATE_BACKING_CONSULINSTANCELIST_H

#include "backing/interfaces/instancelist.h"

namespace oleandergate {

class HttpClient;

//! Instance list that uses the health endpoint of Consul's HTTP API. In the service's metadata, "domain" is the failure domain,
//! and "state" is "leaving" while an instance shuts down.
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
