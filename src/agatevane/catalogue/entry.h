#pragma once

#include "agatevane/catalogue/entries.h"
#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace agatevane {

//! The alternatives have the order of EntryKind.
using Entry = std::variant<WorkspaceEntry, CallerEntry, ServiceEntry, DataCentreEntry, LinkEntry, PolicyEntry>;

struct EntryKey {
    EntryKind kind = EntryKind::Workspace;
    std::string name;

    auto operator<=>(
        const EntryKey&) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14, rewritten comparison
};

//! The prefix of the store keys of all entries.
constexpr std::string_view cataloguePrefix = "/agatevane/catalogue/";

//! Returns "<kind>/<name>", which is also used as the place of findings.
std::string pathOf(const EntryKey& key);
std::string storeKeyOf(const EntryKey& key);
//! Returns no value if the key is outside the catalogue or of an unknown kind.
std::optional<EntryKey> entryKeyOf(std::string_view storeKey);

EntryKey keyOf(const Entry& entry);

} // namespace agatevane
