#include "backing/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace oleandergate {

std::string toBase64(std::string_view bytes)
{
    constexpr std::size_t bytesPerGroup = 3;
    constexpr std::size_t charactersPerGroup = 4;
    std::string text((bytes.size() + bytesPerGroup - 1) / bytesPerGroup * charactersPerGroup + 1, '\0');
    const int size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string fromBase64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    const int size
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (size < 0) {
        return {};
    }
    // EVP_DecodeBlock() counts padding as decoded bytes.
    const auto padding = std::count(text.end() - std::min<std::ptrdiff_t>(2, static_cast<std::ptrdiff_t>(text.size())), text.end(), '=');
    bytes.resize(static_cast<std::size_t>(size) - static_cast<std::size_t>(padding));
    return bytes;
}

} // namespace oleandergate
