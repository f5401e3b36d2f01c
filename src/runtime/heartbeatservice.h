#ifndef OLEANDERGATE_RUNTIME_HEARTBEATSERVICE_H
#define OLEANDERGATE_RUNTIME_HEARTBEATSERVICE_H

#include "wire/messageauth.h"
#include "wire/peermessage.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class ClusterView;

//! Sends heartbeats over UDP to the other instances and receives theirs. A heartbeat shows that the sender is alive and when
//! it last reached the key-value service. Each heartbeat goes to a limited number of peers, chosen in rotation, so that the
//! cost per instance does not grow with the cluster.
class HeartbeatService
{
public:
    //! Returns the version of the active configuration.
    using VersionSource = std::function<std::uint64_t()>;

    //! Called with the address of a peer that has a newer configuration.
    using NewerConfigHandler = std::function<void(const std::string &peerAddress)>;

    HeartbeatService(boost::asio::io_context &context,
                     ClusterView &view,
                     const MessageAuth &auth,
                     std::string address,
                     VersionSource version,
                     NewerConfigHandler onNewerConfig);
    ~HeartbeatService();
    HeartbeatService(const HeartbeatService &) = delete;
    HeartbeatService &operator=(const HeartbeatService &) = delete;

    //! Binds the address and starts sending and receiving. Returns false when the address cannot be bound.
    bool start();

private:
    struct Core;
    boost::asio::awaitable<void> sendLoop();
    void handleDatagram(const std::string &payload);

    std::unique_ptr<Core> core;
};

} // namespace oleandergate

#endif
