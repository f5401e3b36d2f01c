#include "runtime/peerframing.h"

#include "wire/codec.h"

#include <boost/asio.hpp>

#include <array>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t lengthBytes = 4;
constexpr unsigned bitsPerByte = 8;

std::string encodeLength(std::uint32_t length)
{
    std::string bytes(lengthBytes, '\0');
    for (std::size_t index = 0; index < lengthBytes; ++index) {
        bytes[index] = static_cast<char>((length >> (bitsPerByte * index)) & 0xFFU);
    }
    return bytes;
}

std::uint32_t decodeLength(const std::array<unsigned char, lengthBytes> &bytes)
{
    std::uint32_t length = 0;
    for (std::size_t index = 0; index < lengthBytes; ++index) {
        length |= static_cast<std::uint32_t>(bytes[index]) << (bitsPerByte * index);
    }
    return length;
}

} // namespace

PeerFraming::PeerFraming(boost::beast::tcp_stream &stream, const MessageAuth &auth, bool accepting)
    : stream(stream)
    , auth(auth)
    , accepting(accepting)
{
}

std::string PeerFraming::macContext(bool fromAccepting, std::uint64_t frameNumber) const
{
    return this->challenge + (fromAccepting ? "/reply/" : "/command/") + std::to_string(frameNumber);
}

Error PeerFraming::failure(const std::string &detail) const
{
    boost::system::error_code ignored;
    const auto remote = this->stream.socket().remote_endpoint(ignored);
    const std::string peer = remote.address().to_string() + ":" + std::to_string(remote.port());
    return Error{ErrorCode::PeerFailed, Step::Forward, peer, Executed::Unknown, std::nullopt, detail};
}

asio::awaitable<Result<void>> PeerFraming::handshake(Duration timeout)
{
    this->stream.expires_after(timeout);
    if (this->accepting) {
        this->challenge = MessageAuth::randomBytes(challengeBytes);
        const auto [error, size] = co_await asio::async_write(this->stream, asio::buffer(this->challenge), useResult);
        if (error) {
            co_return this->failure(error.message());
        }
        co_return boost::outcome_v2::success();
    }
    this->challenge.resize(challengeBytes);
    const auto [error, size] = co_await asio::async_read(this->stream, asio::buffer(this->challenge), useResult);
    if (error) {
        co_return this->failure(error.message());
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<Result<void>> PeerFraming::write(const PeerMessage &message, Duration timeout)
{
    const std::string payload = encodePeerMessage(message);
    const std::string mac = this->auth.macOf(this->macContext(this->accepting, this->sentFrames), payload);
    this->sentFrames += 1;
    const std::string frame = encodeLength(static_cast<std::uint32_t>(payload.size())) + mac + payload;
    this->stream.expires_after(timeout);
    const auto [error, size] = co_await asio::async_write(this->stream, asio::buffer(frame), useResult);
    if (error) {
        co_return this->failure(error.message());
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<Result<PeerMessage>> PeerFraming::read(Duration timeout)
{
    std::array<unsigned char, lengthBytes> lengthField{};
    std::string mac(macSize, '\0');
    this->stream.expires_after(timeout);
    // Each frame begins with its payload's length and its authentication code.
    const std::array<asio::mutable_buffer, 2> parts{asio::buffer(lengthField), asio::buffer(mac)};
    const auto [prefixError, prefixSize] = co_await asio::async_read(this->stream, parts, useResult);
    if (prefixError) {
        co_return this->failure(prefixError.message());
    }
    const std::uint32_t length = decodeLength(lengthField);
    if (length > maxFrameBytes) {
        co_return this->failure("a frame of " + std::to_string(length) + " bytes exceeds the limit of " + std::to_string(maxFrameBytes) + " bytes");
    }
    // The buffer grows with the data received, so that a forged length does not allocate memory.
    std::string payload;
    while (payload.size() < length) {
        constexpr std::size_t readChunkBytes = 65536;
        const std::size_t offset = payload.size();
        payload.resize(std::min<std::size_t>(length, offset + readChunkBytes));
        this->stream.expires_after(timeout);
        const auto [error, size] = co_await asio::async_read(this->stream, asio::buffer(payload.data() + offset, payload.size() - offset), useResult);
        if (error) {
            co_return this->failure(error.message());
        }
    }
    if (!this->auth.verify(this->macContext(!this->accepting, this->receivedFrames), payload, mac)) {
        co_return this->failure("a frame has an invalid authentication code");
    }
    this->receivedFrames += 1;
    co_return decodePeerMessage(payload);
}

} // namespace oleandergate
