#ifndef OLEANDERGATE_RUNTIME_DIRECTDIALER_H
#define OLEANDERGATE_RUNTIME_DIRECTDIALER_H

#include "decision/pathplan.h"
#include "runtime/interfaces/dialer.h"

namespace oleandergate {

//! Opens connections straight to their addresses, with keep-alive probes that find peers which are gone.
class DirectDialer : public Dialer
{
public:
    //! \p receiveBufferBytes bounds what arrives on a connection before it is read, in bytes; 0 for what the system allows.
    explicit DirectDialer(std::size_t receiveBufferBytes = 0);

    boost::asio::awaitable<DialOutcome> dial(boost::asio::any_io_executor executor, std::string address, Time giveUpAt) override;
    bool mayReuse(const std::string &address, const ConnectionPath &path, Time now) const override;
    void onReceived(const std::string &address, const ConnectionPath &path, Time now) override;

private:
    std::size_t receiveBufferBytes;
};

//! Returns what a direct connection attempt tells about the way to its address.
ReachOutcome reachOutcomeOf(const DialOutcome &dialed);

//! Opens \p socket, and bounds what arrives on it before it is read to \p bytes, unless that is 0. The window of a connection is settled when it is opened.
void openWithReceiveBuffer(boost::asio::ip::tcp::socket &socket, const boost::asio::ip::tcp::endpoint &endpoint, std::size_t bytes);

//! Sets the options that connections to endpoints have: no delay, and probes that end a connection whose other end is gone.
void setConnectionOptions(boost::asio::ip::tcp::socket &socket);

} // namespace oleandergate

#endif
