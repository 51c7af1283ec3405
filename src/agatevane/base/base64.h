#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace agatevane {

//! Encodes with the standard alphabet and padding, as the JSON mapping of protobuf does for bytes.
std::string toBase64(std::string_view bytes);

//! Decodes padded base64 of the standard or the URL-safe alphabet, since protobuf accepts both. Returns std::nullopt
//! for other text.
std::optional<std::string> fromBase64(std::string_view text);

} // namespace agatevane
