#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace agatevane {

inline std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

//! Formats `value` as 16 lower-case hexadecimal digits.
inline std::string toHex(std::uint64_t value)
{
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(value));
    return digits;
}

inline std::string digestOf(std::string_view bytes)
{
    return toHex(hash64(bytes));
}

} // namespace agatevane
