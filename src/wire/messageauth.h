#ifndef OLEANDERGATE_WIRE_MESSAGEAUTH_H
#define OLEANDERGATE_WIRE_MESSAGEAUTH_H

#include <cstdint>
#include <string>

namespace oleandergate {

//! Length of an authentication code in bytes.
inline constexpr std::size_t macSize = 32;

//! Authenticates messages between instances with HMAC-SHA-256 under a shared key.
class MessageAuth
{
public:
    explicit MessageAuth(std::string key);

    //! Returns the authentication code of \p payload in \p context. The context prevents replay of a message elsewhere: for TCP it
    //! consists of the connection's challenge, the direction and the frame's number.
    std::string macOf(const std::string &context, const std::string &payload) const;

    //! Returns whether \p mac is the code of \p payload in \p context. Compares in constant time.
    bool verify(const std::string &context, const std::string &payload, const std::string &mac) const;

    //! Returns \p size cryptographically secure random bytes. Throws std::runtime_error if the system provides none.
    static std::string randomBytes(std::size_t size);

private:
    std::string key;
};

} // namespace oleandergate

#endif
