#pragma once

#include <string>
#include <string_view>

namespace agatevane {

//! Number of hexadecimal digits in the digest of a token.
constexpr std::size_t tokenDigestDigits = 64;

//! Returns the SHA-256 of a bearer token in lower-case hexadecimal digits. Every operator can read the catalogue, so it
//! holds this digest instead of the token; a fast hash such as `digestOf` could be inverted or made to collide.
std::string tokenDigestOf(std::string_view token);

} // namespace agatevane
