#ifndef OLEANDERGATE_RUNTIME_INTERFACES_DIALER_H
#define OLEANDERGATE_RUNTIME_INTERFACES_DIALER_H

#include "decision/errorcode.h"
#include "decision/time.h"
#include "runtime/endpointstream.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/outcome/result.hpp>

#include <memory>
#include <string>

namespace oleandergate {

//! How a connection reaches its address.
struct ConnectionPath
{
    std::string peer{}; //!< Peer address of the instance that passes the bytes on; empty for a direct connection.
    std::uint64_t tunnel = 0; //!< Number of the tunnel, for the logs of both instances; 0 for a direct connection.
};

//! An established connection.
struct DialedConnection
{
    std::unique_ptr<EndpointStream> stream{};
    ConnectionPath path{};
    std::shared_ptr<void> lease{}; //!< Kept as long as the connection is open.
};

//! Why no connection was established.
struct DialFailure
{
    ErrorCode code = ErrorCode::EndpointFailed;
    bool refused = false; //!< No process listens at the address.
    std::string detail{};
};

using DialOutcome = boost::outcome_v2::checked<DialedConnection, DialFailure>;

//! Opens connections. Thread-safe.
class Dialer
{
public:
    virtual ~Dialer() = default;

    //! Connects to \p address, an IP address and a port, until \p giveUpAt. The connection runs on \p executor, a strand on which the
    //! caller runs.
    virtual boost::asio::awaitable<DialOutcome> dial(boost::asio::any_io_executor executor, std::string address, Time giveUpAt) = 0;

    //! Returns whether an idle connection may carry another request.
    virtual bool mayReuse(const std::string &address, const ConnectionPath &path, Time now) const = 0;

    //! Records that bytes arrived over a connection.
    virtual void onReceived(const std::string &address, const ConnectionPath &path, Time now) = 0;
};

} // namespace oleandergate

#endif
