#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace agatevane {

//! Standard alphabet with padding, as protobuf's JSON mapping has it for bytes.
std::string toBase64(std::string_view bytes);

//! Nothing if the text is not padded base64 of the standard or URL-safe alphabet; protobuf accepts both.
std::optional<std::string> fromBase64(std::string_view text);

} // namespace agatevane
