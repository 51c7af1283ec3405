#include "agatevane/base/base64.h"

#include <array>
#include <cstdint>

namespace agatevane {

namespace {

    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr std::int8_t invalid = -1;

    constexpr std::array<std::int8_t, 256> makeDecodeTable()
    {
        std::array<std::int8_t, 256> table {};
        for (auto& value : table)
            value = invalid;
        for (std::size_t i = 0; i < alphabet.size(); ++i)
            table[static_cast<unsigned char>(alphabet[i])] = static_cast<std::int8_t>(i);
        table['-'] = table['+'];
        table['_'] = table['/'];
        return table;
    }

    constexpr auto decodeTable = makeDecodeTable();

} // namespace

std::string toBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        text += alphabet[group >> 18 & 63];
        text += alphabet[group >> 12 & 63];
        text += i + 1 < bytes.size() ? alphabet[group >> 6 & 63] : '=';
        text += i + 2 < bytes.size() ? alphabet[group & 63] : '=';
    }
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3);
    for (std::size_t i = 0; i < text.size(); i += 4) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 4; ++k) {
            bool isPadding = i + k >= text.size() - padding;
            auto value = isPadding ? std::int8_t(0) : decodeTable[static_cast<unsigned char>(text[i + k])];
            if (value == invalid)
                return std::nullopt;
            group = group << 6 | static_cast<std::uint32_t>(value);
        }
        bytes += static_cast<char>(group >> 16 & 255);
        bytes += static_cast<char>(group >> 8 & 255);
        bytes += static_cast<char>(group & 255);
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace agatevane
