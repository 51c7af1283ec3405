#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/catalogue/entry.h"
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace agatevane {

//! Longest entry in JSON. The store's limit on a value is 1 MB, and an entry has to fit one frame between peers.
constexpr std::size_t maxEntryBytes = 900'000;

nlohmann::json toJson(const Entry& entry);
std::string encodeEntry(const Entry& entry);

//! Reads one entry of `kind` and checks what can be seen in the entry alone: types, ranges, names, duplicates. Returns
//! every finding with its place; `entry` is unspecified if there is one.
Findings decodeEntry(EntryKind kind, const std::string& text, Entry& entry);

} // namespace agatevane
