#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace agatevane {

//! The wire names of an enumeration. Specialise with `static constexpr std::array<std::pair<E, std::string_view>, N>
//! table`.
template <typename E> struct EnumNames;

//! Returns the name of `value`, or "unknown" if the table does not have it.
template <typename E> constexpr std::string_view nameOf(E value)
{
    for (const auto& [candidate, name] : EnumNames<E>::table) {
        if (candidate == value)
            return name;
    }
    return "unknown";
}

//! Returns the value named `name`, or std::nullopt if the table has no such name.
template <typename E> constexpr std::optional<E> fromName(std::string_view name)
{
    for (const auto& [value, candidate] : EnumNames<E>::table) {
        if (candidate == name)
            return value;
    }
    return std::nullopt;
}

} // namespace agatevane
