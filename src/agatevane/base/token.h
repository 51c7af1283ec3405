#pragma once

#include <string>
#include <string_view>

namespace agatevane {

//! Hexadecimal digits of a token's digest.
constexpr std::size_t tokenDigestDigits = 64;

//! SHA-256 of a bearer token in lower-case hexadecimal digits. The catalogue can be read by every operator, so it holds
//! this instead of the token; a fast hash such as `digestOf` could be inverted or collided.
std::string tokenDigestOf(std::string_view token);

} // namespace agatevane
