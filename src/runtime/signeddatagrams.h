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

//! Sends and receives small UDP messages that carry a code over their content.
class SignedDatagrams
{
public:
    using Handler = std::function<void(const std::string &payload)>;

    //! \p purpose goes into the code, so that a message of one kind is not taken for one of another.
    SignedDatagrams(const boost::asio::any_io_executor &executor, const MessageAuth &auth, std::string purpose);

    //! Binds \p address and calls \p handler, on the executor, with each genuine message. Returns false when the address is taken.
    bool start(const std::string &address, Handler handler);

    //! Sends \p payload to each of \p addresses. Addresses that do not read are left out.
    boost::asio::awaitable<void> send(std::string payload, std::vector<std::string> addresses);

private:
    boost::asio::awaitable<void> receive(Handler handler);

    boost::asio::ip::udp::socket socket;
    const MessageAuth &auth;
    std::string purpose;
};

} // namespace oleandergate

#endif
