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

//! Tells peers over UDP that this instance lives and whether it reaches the key-value service, and listens to theirs.
//! Beyond a fixed number of peers each heartbeat goes to a rotating part of them, so the cost per node stays level.
class HeartbeatService
{
public:
    //! Returns the version of the configuration in force.
    using VersionSource = std::function<std::uint64_t()>;

    //! Called when a peer has a newer configuration.
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

    //! Binds the address and starts. Returns false when the address is taken.
    bool start();

private:
    struct Core;
    boost::asio::awaitable<void> sendLoop();
    void handleDatagram(const std::string &payload);

    std::unique_ptr<Core> core;
};

} // namespace oleandergate

#endif
