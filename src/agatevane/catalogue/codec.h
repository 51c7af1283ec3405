#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/catalogue/entry.h"
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace agatevane {

//! Greatest length of an entry in JSON. The store accepts values up to 1 MB, and an entry must fit into one frame
//! between peers.
constexpr std::size_t maxEntryBytes = 900'000;

nlohmann::json toJson(const Entry& entry);
std::string encodeEntry(const Entry& entry);

//! Reads one entry of `kind` and makes the checks that need no other entry: types, ranges, names and duplicates.
//! Returns every finding with its place. If there are findings, the content of `entry` is unspecified.
Findings decodeEntry(EntryKind kind, const std::string& text, Entry& entry);

} // namespace agatevane
