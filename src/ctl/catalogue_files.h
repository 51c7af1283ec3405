#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/catalogue/entries.h"
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace agatevane::ctl {

//! One entry of a catalogue file.
struct FileEntry {
    std::string file;
    EntryKind kind = EntryKind::Workspace;
    std::string name;
    nlohmann::json value;

    std::string path() const { return std::string(nameOf(kind)) + "/" + name; }
};

//! Returns the entry with all defaults written out, or `value` itself if it is not a valid entry.
nlohmann::json normalized(EntryKind kind, const nlohmann::json& value);

//! Reads files of the form `{"workspaces": [{"id": ...}, ...], "services": [...]}`. Each finding names
//! the file, the entry and the field. The entries are returned in the order in which they must be written.
std::vector<FileEntry> readCatalogueFiles(const std::vector<std::string>& files, Findings& findings);

//! Adds the findings of each entry, and the findings that the entries would newly cause in `current`, which is the body
//! of `GET /v1/catalogue`. The entries of all files are applied to it together, so their order does not matter.
void checkCombined(const std::vector<FileEntry>& entries, const nlohmann::json& current, Findings& findings);

} // namespace agatevane::ctl
