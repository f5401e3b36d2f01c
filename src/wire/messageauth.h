#ifndef OLEANDERGATE_WIRE_MESSAGEAUTH_H
#define OLEANDERGATE_WIRE_MESSAGEAUTH_H

#include <cstdint>
#include <string>

namespace oleandergate {

//! Bytes of an authentication code.
inline constexpr std::size_t macSize = 32;

//! Authenticates messages between instances with HMAC-SHA-256 under a shared key.
class MessageAuth
{
public:
    explicit MessageAuth(std::string key);

    //! Returns the code of \p payload in \p context. The context keeps a message from being replayed elsewhere:
    //! for TCP the connection's challenge, the direction and the frame's number.
    std::string macOf(const std::string &context, const std::string &payload) const;

    //! Checks a code in constant time.
    bool verify(const std::string &context, const std::string &payload, const std::string &mac) const;

    //! Returns \p size unpredictable bytes.
    static std::string randomBytes(std::size_t size);

private:
    std::string key;
};

} // namespace oleandergate

#endif
