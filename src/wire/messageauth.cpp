#include "wire/messageauth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stdexcept>

namespace oleandergate {

MessageAuth::MessageAuth(std::string key)
    : key(std::move(key))
{
}

std::string MessageAuth::macOf(const std::string &context, const std::string &payload) const
{
    const std::string message = std::to_string(context.size()) + ":" + context + payload;
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    HMAC(EVP_sha256(),
         this->key.data(),
         static_cast<int>(this->key.size()),
         reinterpret_cast<const unsigned char *>(message.data()),
         message.size(),
         digest,
         &size);
    return {reinterpret_cast<const char *>(digest), size};
}

bool MessageAuth::verify(const std::string &context, const std::string &payload, const std::string &mac) const
{
    const std::string expected = this->macOf(context, payload);
    return mac.size() == expected.size() && CRYPTO_memcmp(mac.data(), expected.data(), mac.size()) == 0;
}

std::string MessageAuth::randomBytes(std::size_t size)
{
    std::string bytes(size, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(size)) != 1) {
        throw std::runtime_error("the system's random number generator failed");
    }
    return bytes;
}

} // namespace oleandergate
