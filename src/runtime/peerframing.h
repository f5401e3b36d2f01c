#ifndef OLEANDERGATE_RUNTIME_PEERFRAMING_H
#define OLEANDERGATE_RUNTIME_PEERFRAMING_H

#include "decision/error.h"
#include "wire/messageauth.h"
#include "wire/peermessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <string>

namespace oleandergate {

//! Largest frame accepted from a peer, in bytes.
inline constexpr std::uint32_t maxFrameBytes = 128 * 1024 * 1024;

//! Bytes of the random challenge that the accepting side sends first.
inline constexpr std::size_t challengeBytes = 16;

//! Reads and writes authenticated messages on a connection between two instances. A frame consists of the message length, a
//! message authentication code and the message. The code also covers the connection's challenge, the direction and the
//! number of the frame, so that frames cannot be replayed, reordered or reflected.
class PeerFraming
{
public:
    //! \p accepting is true on the side that accepted the connection.
    PeerFraming(boost::beast::tcp_stream &stream, const MessageAuth &auth, bool accepting);

    //! Sends the challenge on the accepting side and receives it on the connecting side.
    boost::asio::awaitable<Result<void>> handshake(Duration timeout);

    boost::asio::awaitable<Result<void>> write(const PeerMessage &message, Duration timeout);

    //! Reads one message. Fails when no data arrives for \p timeout.
    boost::asio::awaitable<Result<PeerMessage>> read(Duration timeout);

private:
    std::string macContext(bool fromAccepting, std::uint64_t frameNumber) const;
    Error failure(const std::string &detail) const;

    boost::beast::tcp_stream &stream;
    const MessageAuth &auth;
    bool accepting;
    std::string challenge;
    std::uint64_t sentFrames = 0;
    std::uint64_t receivedFrames = 0;
};

} // namespace oleandergate

#endif
