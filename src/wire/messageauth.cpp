#include "wire/messageauth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

#include <array>
#include <mutex>
#include <stdexcept>

namespace oleandergate {

namespace {

using Algorithm = std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)>;
using Context = std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)>;

constexpr const char *unavailable = "HMAC with SHA-256 is not available";

bool update(EVP_MAC_CTX *context, std::string_view text)
{
    return EVP_MAC_update(context, reinterpret_cast<const unsigned char *>(text.data()), text.size()) == 1;
}

} // namespace

//! Keeps the key as OpenSSL has read it, which costs several times what the code of a short message does.
struct MessageAuth::Keyed
{
    std::mutex mutex{};
    Context context{nullptr, &EVP_MAC_CTX_free}; //!< Guarded by the mutex.
};

MessageAuth::MessageAuth(const std::string &key)
    : keyed(new Keyed)
{
    const Algorithm algorithm(EVP_MAC_fetch(nullptr, "HMAC", nullptr), &EVP_MAC_free);
    this->keyed->context.reset(algorithm ? EVP_MAC_CTX_new(algorithm.get()) : nullptr);
    std::array digest{'S', 'H', 'A', '2', '5', '6', '\0'};
    const std::array parameters{OSSL_PARAM_construct_utf8_string("digest", digest.data(), 0), OSSL_PARAM_construct_end()};
    const auto *bytes = reinterpret_cast<const unsigned char *>(key.data());
    if (!this->keyed->context || EVP_MAC_init(this->keyed->context.get(), bytes, key.size(), parameters.data()) != 1) {
        throw std::runtime_error(unavailable);
    }
}

MessageAuth::~MessageAuth() = default;

std::string MessageAuth::macOf(std::string_view context, std::string_view payload) const
{
    const std::string length = std::to_string(context.size()) + ":";
    std::string mac(macSize, '\0');
    std::size_t size = 0;
    const std::lock_guard lock(this->keyed->mutex);
    EVP_MAC_CTX *message = this->keyed->context.get();
    // Without a key it begins another message with the key that it has.
    const bool computed = EVP_MAC_init(message, nullptr, 0, nullptr) == 1 && update(message, length) && update(message, context) && update(message, payload)
        && EVP_MAC_final(message, reinterpret_cast<unsigned char *>(mac.data()), &size, mac.size()) == 1;
    if (!computed || size != macSize) {
        throw std::runtime_error(unavailable);
    }
    return mac;
}

bool MessageAuth::verify(std::string_view context, std::string_view payload, std::string_view mac) const
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
