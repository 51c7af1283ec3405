#include "agatevane/base/token.h"

#include <array>
#include <openssl/sha.h>

namespace agatevane {

std::string tokenDigestOf(std::string_view token)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(tokenDigestDigits);
    for (unsigned char byte : digest) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

} // namespace agatevane
