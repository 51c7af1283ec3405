#include "ctl/catalogue_files.h"

#include "agatevane/json/reader.h"
#include <fstream>
#include <set>
#include <sstream>

namespace agatevane::ctl {

namespace {

    void readEntries(const std::string& file, EntryKind kind, const nlohmann::json& values,
        std::vector<FileEntry>& entries, Findings& findings)
    {
        std::string place = file + ": " + std::string(nameOf(kind));
        if (!values.is_array()) {
            findings.push_back({ place, "must be an array" });
            return;
        }
        for (std::size_t i = 0; i < values.size(); ++i) {
            const auto& value = values[i];
            auto id = value.is_object() ? value.find("id") : value.end();
            if (!value.is_object() || id == value.end() || !id->is_string())
                findings.push_back({ place + "/" + std::to_string(i) + "/id", "missing or not a string" });
            else
                entries.push_back({ file, kind, id->get<std::string>(), value });
        }
    }

    void readFile(const std::string& file, std::vector<FileEntry>& entries, Findings& findings)
    {
        std::ifstream stream(file, std::ios::binary);
        std::ostringstream text;
        text << stream.rdbuf();
        if (!stream) {
            findings.push_back({ file, "cannot be read" });
            return;
        }
        nlohmann::json value;
        if (!json::parse(text.str(), file, value, findings))
            return;
        if (!value.is_object()) {
            findings.push_back({ file, "must be an object of arrays, such as {\"workspaces\": [...]}" });
            return;
        }
        for (const auto& [name, values] : value.items()) {
            if (auto kind = fromName<EntryKind>(name))
                readEntries(file, *kind, values, entries, findings);
            else
                findings.push_back({ file + ": " + name, "unknown kind of entry" });
        }
    }

} // namespace

std::vector<FileEntry> readCatalogueFiles(const std::vector<std::string>& files, Findings& findings)
{
    std::vector<FileEntry> entries;
    for (const auto& file : files)
        readFile(file, entries, findings);
    std::set<std::string> seen;
    for (const auto& entry : entries) {
        if (!seen.insert(entry.path()).second)
            findings.push_back({ entry.file + ": " + entry.path(), "listed twice" });
    }
    return entries;
}

void checkTogether(const std::vector<FileEntry>&, const nlohmann::json&, Findings&) { }

} // namespace agatevane::ctl
