#ifndef OLEANDERGATE_RUNTIME_TUNNELCLIENT_H
#define OLEANDERGATE_RUNTIME_TUNNELCLIENT_H

#include "decision/time.h"
#include "wire/messageauth.h"
#include "wire/peermessage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <optional>
#include <string>

namespace oleandergate {

//! Result of a request for a tunnel.
struct OpenedTunnel
{
    std::optional<TunnelOutcome> outcome{}; //!< Nothing when the instance did not answer.
    std::unique_ptr<boost::beast::tcp_stream> stream{}; //!< Set with TunnelOutcome::Connected.
    std::string detail{};
};

//! Asks other instances to carry connections to endpoints. Thread-safe.
class TunnelClient
{
public:
    explicit TunnelClient(const MessageAuth &auth);

    //! Asks the instance at \p peerAddress. The connection runs on \p executor, a strand on which the caller runs.
    boost::asio::awaitable<OpenedTunnel> open(boost::asio::any_io_executor executor, std::string peerAddress, TunnelRequest request, Time giveUpAt) const;

private:
    const MessageAuth &auth;
};

} // namespace oleandergate

#endif
