#ifndef OLEANDERGATE_RUNTIME_SIGNEDDATAGRAMS_H
#define OLEANDERGATE_RUNTIME_SIGNEDDATAGRAMS_H

#include "wire/messageauth.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <string>
#include <vector>

namespace oleandergate {

//! Sends and receives small UDP messages with a message authentication code.
class SignedDatagrams
{
public:
    using Handler = std::function<void(const std::string &payload)>;

    //! \p purpose is covered by the code, so that a message cannot be replayed as one of another kind.
    SignedDatagrams(const boost::asio::any_io_executor &executor, const MessageAuth &auth, std::string purpose);

    //! Binds \p address and calls \p handler on the executor with each authenticated message. Returns false when the address
    //! cannot be bound.
    bool start(const std::string &address, Handler handler);

    //! Sends \p payload to each of \p addresses. Malformed addresses are skipped, and send errors are ignored.
    boost::asio::awaitable<void> send(std::string payload, std::vector<std::string> addresses);

private:
    boost::asio::awaitable<void> receive(Handler handler);

    boost::asio::ip::udp::socket socket;
    const MessageAuth &auth;
    std::string purpose;
};

} // namespace oleandergate

#endif
