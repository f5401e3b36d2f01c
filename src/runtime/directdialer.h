#ifndef OLEANDERGATE_RUNTIME_DIRECTDIALER_H
#define OLEANDERGATE_RUNTIME_DIRECTDIALER_H

#include "decision/pathplan.h"
#include "runtime/interfaces/dialer.h"

namespace oleandergate {

//! Opens connections straight to their addresses, with keep-alive probes that find peers which are gone.
class DirectDialer : public Dialer
{
public:
    boost::asio::awaitable<DialOutcome> dial(boost::asio::any_io_executor executor, std::string address, Time giveUpAt) override;
    bool mayReuse(const std::string &address, const ConnectionPath &path, Time now) const override;
    void onReceived(const std::string &address, const ConnectionPath &path, Time now) override;
};

//! Returns what a direct connection attempt tells about the way to its address.
ReachOutcome reachOutcomeOf(const DialOutcome &dialed);

//! Sets the options that connections to endpoints have: no delay, and probes that end a connection whose other end is gone.
void setConnectionOptions(boost::asio::ip::tcp::socket &socket);

} // namespace oleandergate

#endif
