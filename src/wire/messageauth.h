#ifndef OLEANDERGATE_WIRE_MESSAGEAUTH_H
#define OLEANDERGATE_WIRE_MESSAGEAUTH_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace oleandergate {

//! Length of an authentication code in bytes.
inline constexpr std::size_t macSize = 32;

//! Authenticates messages between instances with HMAC-SHA-256 under a shared key.
class MessageAuth
{
public:
    //! Throws std::runtime_error if the code cannot be computed.
    explicit MessageAuth(const std::string &key);
    ~MessageAuth();
    MessageAuth(const MessageAuth &) = delete;
    MessageAuth &operator=(const MessageAuth &) = delete;

    //! Returns the authentication code of \p payload in \p context. The context prevents replay of a message elsewhere: for TCP it
    //! consists of the connection's challenge, the direction and the frame's number.
    std::string macOf(std::string_view context, std::string_view payload) const;

    //! Returns whether \p mac is the code of \p payload in \p context. Compares in constant time.
    bool verify(std::string_view context, std::string_view payload, std::string_view mac) const;

    //! Returns \p size cryptographically secure random bytes. Throws std::runtime_error if the system provides none.
    static std::string randomBytes(std::size_t size);

private:
    struct Keyed;

    std::unique_ptr<Keyed> keyed;
};

} // namespace oleandergate

#endif
