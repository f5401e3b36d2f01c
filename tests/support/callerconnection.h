#ifndef OLEANDERGATE_SUPPORT_CALLERCONNECTION_H
#define OLEANDERGATE_SUPPORT_CALLERCONNECTION_H

#include "runtime/httpmessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace oleandergate::support {

//! State of a connection as its caller sees it.
enum class ConnectionEnd : std::uint8_t {
    Open,
    Closed, //!< In order.
    Reset, //!< What was sent last may be lost.
};

//! A caller's connection, whose bytes a test sends and receives itself.
class CallerConnection
{
public:
    explicit CallerConnection(const std::string &address);

    //! Sends \p bytes. Returns false when the connection is broken.
    bool send(const std::string &bytes);

    //! Closes the sending side of the connection.
    void endSending();

    //! Receives until the connection ends, \p responseCount complete responses have arrived, or nothing arrives for \p timeoutMs.
    void receive(std::size_t responseCount, int timeoutMs);

    //! Receives what arrives within \p timeoutMs, in one step. Returns false when nothing did.
    bool receiveSome(int timeoutMs);

    //! Sets the size of the buffer for bytes that were not received yet.
    void limitUnreceived(int bytes);

    //! Receives until the connection ends or nothing arrives for \p timeoutMs.
    void receiveToEnd(int timeoutMs);

    //! Returns the complete responses among the received bytes.
    std::vector<HttpResponse> responses() const;

    //! Returns the number of received bytes that follow the complete responses.
    std::size_t incompleteBytes() const;

    //! Returns what was received of the body of the response that follows the complete ones.
    std::string incompleteBody() const;
    ConnectionEnd end() const;

    //! Returns all received bytes.
    const std::string &bytes() const;

private:
    //! Returns the number of bytes of the complete responses, which are added to \p found.
    std::size_t parse(std::vector<HttpResponse> &found) const;

    boost::asio::io_context context{};
    boost::asio::ip::tcp::socket socket;
    std::string received{};
    ConnectionEnd ended = ConnectionEnd::Open;
};

//! Returns a chunk of a request's body; an empty one ends the body.
std::string bodyChunk(const std::string &text);

} // namespace oleandergate::support

#endif
