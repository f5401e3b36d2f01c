#ifndef OLEANDERGATE_RUNTIME_ENDPOINTSTREAM_H
#define OLEANDERGATE_RUNTIME_ENDPOINTSTREAM_H

#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <cstdint>
#include <memory>

namespace oleandergate {

//! Bytes of the length in front of each chunk of a tunnel.
inline constexpr std::size_t tunnelLengthBytes = 4;

//! The bytes of a connection to an endpoint, direct or through a tunnel. Meets Beast's AsyncReadStream and AsyncWriteStream.
//!
//! A tunnel's end counts as the end of the endpoint's connection only if the last chunk says so; otherwise reads fail with
//! connection_reset, so that an answer that its connection ends cannot look whole because the tunnel broke.
class EndpointStream
{
public:
    using executor_type = boost::beast::tcp_stream::executor_type;

    EndpointStream(std::unique_ptr<boost::beast::tcp_stream> connected, bool isTunnel)
        : connected(std::move(connected))
        , isTunnel(isTunnel)
    {
    }

    //! Returns the connection, to the endpoint or to the instance that carries the tunnel.
    boost::beast::tcp_stream &tcp()
    {
        return *this->connected;
    }

    // NOLINTBEGIN(readability-identifier-naming): Asio's stream concepts prescribe these names.
    executor_type get_executor() const
    {
        return this->connected->get_executor();
    }

    template <class Buffers, class Token>
    auto async_write_some(const Buffers &buffers, Token &&token)
    {
        return this->connected->async_write_some(buffers, std::forward<Token>(token));
    }

    template <class Buffers, class Token>
    auto async_read_some(const Buffers &buffers, Token &&token)
    {
        return boost::asio::async_compose<Token, void(boost::beast::error_code, std::size_t)>(ReadOperation<Buffers>{*this, buffers}, token, *this->connected);
    }
    // NOLINTEND(readability-identifier-naming)

private:
    enum class ReadStep : std::uint8_t { Start, Length, Bytes };

    template <class Buffers>
    struct ReadOperation
    {
        EndpointStream &stream;
        Buffers buffers;
        ReadStep step = ReadStep::Start;

        template <class Self>
        void operator()(Self &self, boost::beast::error_code error = {}, std::size_t size = 0)
        {
            EndpointStream &from = this->stream;
            if (!from.isTunnel) {
                if (this->step == ReadStep::Start) {
                    this->step = ReadStep::Bytes;
                    from.connected->async_read_some(this->buffers, std::move(self));
                    return;
                }
                self.complete(error, size);
                return;
            }
            if (error) {
                self.complete(error == boost::asio::error::eof ? boost::beast::error_code(boost::asio::error::connection_reset) : error, 0);
                return;
            }
            if (this->step == ReadStep::Bytes) {
                from.chunkLeft -= size;
                self.complete({}, size);
                return;
            }
            if (this->step == ReadStep::Length) {
                from.lengthRead += size;
                if (from.lengthRead == tunnelLengthBytes) {
                    from.lengthRead = 0;
                    from.chunkLeft = from.decodedLength();
                    from.ended = from.chunkLeft == 0;
                }
            }
            if (from.ended) {
                // Completion must not run inside the initiating call, and the connection has nothing more to wait for.
                if (this->step == ReadStep::Start) {
                    this->step = ReadStep::Length;
                    boost::asio::post(from.get_executor(), std::move(self));
                    return;
                }
                self.complete(boost::asio::error::eof, 0);
                return;
            }
            if (from.chunkLeft > 0) {
                this->step = ReadStep::Bytes;
                from.connected->async_read_some(boost::asio::buffer(firstOf(this->buffers), from.chunkLeft), std::move(self));
                return;
            }
            this->step = ReadStep::Length;
            from.connected->async_read_some(boost::asio::buffer(from.length.data() + from.lengthRead, tunnelLengthBytes - from.lengthRead), std::move(self));
        }
    };

    //! Returns the first buffer of the sequence that is not empty.
    template <class Buffers>
    static boost::asio::mutable_buffer firstOf(const Buffers &buffers)
    {
        const auto end = boost::asio::buffer_sequence_end(buffers);
        for (auto position = boost::asio::buffer_sequence_begin(buffers); position != end; ++position) {
            const boost::asio::mutable_buffer buffer(*position);
            if (buffer.size() > 0) {
                return buffer;
            }
        }
        return {};
    }

    std::size_t decodedLength() const
    {
        constexpr unsigned bitsPerByte = 8;
        std::size_t decoded = 0;
        for (std::size_t index = 0; index < tunnelLengthBytes; ++index) {
            decoded |= static_cast<std::size_t>(this->length[index]) << (bitsPerByte * index);
        }
        return decoded;
    }

    std::unique_ptr<boost::beast::tcp_stream> connected;
    bool isTunnel;
    std::array<unsigned char, tunnelLengthBytes> length{};
    std::size_t lengthRead = 0; //!< Bytes of the next chunk's length that have arrived.
    std::size_t chunkLeft = 0; //!< Bytes of the current chunk that have not been read.
    bool ended = false;
};

} // namespace oleandergate

#endif
