#ifndef OLEANDERGATE_SUPPORT_LOOPBACKPROXY_H
#define OLEANDERGATE_SUPPORT_LOOPBACKPROXY_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace oleandergate::support {

//! State of the link that a proxy stands for.
enum class Link : std::uint8_t {
    Open, //!< Bytes pass in both directions.
    Silent, //!< Nothing passes, neither new connections nor bytes of open ones, and neither end learns of it.
    Reset, //!< Open connections are reset and new ones are refused.
    NoNew //!< Open connections live on, new ones are refused.
};

//! Forwards TCP connections on loopback, so that the link of one process to an address can fail while others still reach it.
class LoopbackProxy
{
public:
    //! Forwards to \p target, an IP address and a port.
    explicit LoopbackProxy(std::string target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    const std::string &address() const;

    //! Returns once the link has the new state.
    void setLink(Link link);

private:
    struct Pair;

    void apply(Link link);
    void listen();
    void fillBacklog();
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> forward(std::shared_ptr<Pair> pair, bool toTarget);
    boost::asio::awaitable<void> open(std::shared_ptr<Pair> pair);

    std::string target;
    std::string listenAddress;
    boost::asio::io_context context{1};
    boost::asio::ip::tcp::acceptor acceptor;
    Link link = Link::Open; //!< Used by the thread alone, like the members below.
    std::uint64_t acceptRound = 0; //!< Ends the accepting coroutine of an earlier state.
    std::list<std::weak_ptr<Pair>> pairs;
    std::vector<boost::asio::ip::tcp::socket> backlog; //!< Connections that fill the queue of the listening socket.
    std::thread thread;
};

} // namespace oleandergate::support

#endif
