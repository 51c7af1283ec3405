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

//! The entry with all defaults written out; as it is if it is not valid.
nlohmann::json normalized(EntryKind kind, const nlohmann::json& value);

//! Reads files of the form `{"workspaces": [{"id": ...}, ...], "services": [...]}`. Findings name file, entry and
//! field.
std::vector<FileEntry> readCatalogueFiles(const std::vector<std::string>& files, Findings& findings);

//! Adds the findings of each entry, and those that the entries bring into `current`, the body of `GET /v1/catalogue`.
//! The entries of all files are put over it at once, so their order does not matter.
void checkTogether(const std::vector<FileEntry>& entries, const nlohmann::json& current, Findings& findings);

} // namespace agatevane::ctl
