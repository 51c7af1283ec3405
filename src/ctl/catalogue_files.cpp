#include "ctl/catalogue_files.h"

#include "agatevane/catalogue/catalogue.h"
#include "agatevane/catalogue/codec.h"
#include "agatevane/json/reader.h"
#include <algorithm>
#include <fstream>
#include <map>
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

    //! Position of a kind in the order in which entries are written. Entries can refer to entries of kinds that are
    //! written before them.
    int writeOrderOf(EntryKind kind)
    {
        switch (kind) {
        case EntryKind::Service:
            return 0;
        case EntryKind::DataCentre:
            return 1;
        case EntryKind::Workspace:
            return 2;
        default:
            return 3;
        }
    }

} // namespace

nlohmann::json normalized(EntryKind kind, const nlohmann::json& value)
{
    Entry entry;
    return decodeEntry(kind, json::dump(value), entry).empty() ? toJson(entry) : value;
}

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
    std::ranges::stable_sort(entries, {}, [](const FileEntry& entry) { return writeOrderOf(entry.kind); });
    return entries;
}

void checkCombined(const std::vector<FileEntry>& entries, const nlohmann::json& current, Findings& findings)
{
    Catalogue before;
    for (const auto& element : current.value("entries", nlohmann::json::array())) {
        auto kind = fromName<EntryKind>(element.value("kind", ""));
        Entry entry;
        if (kind && decodeEntry(*kind, json::dump(element.value("entry", nlohmann::json())), entry).empty())
            insert(before, std::move(entry));
    }
    auto after = before;
    std::map<std::string, std::string> fileOf;
    auto findingCountBefore = findings.size();
    for (const auto& fileEntry : entries) {
        Entry entry;
        auto entryFindings = decodeEntry(fileEntry.kind, json::dump(fileEntry.value), entry);
        for (const auto& finding : entryFindings)
            findings.push_back({ fileEntry.file + ": " + fileEntry.path() + finding.place, finding.text });
        if (entryFindings.empty())
            insert(after, std::move(entry));
        fileOf[fileEntry.path()] = fileEntry.file;
    }
    // An entry that cannot be decoded is missing from `after`. Checking references now would report every reference to
    // it as a second fault.
    if (findings.size() != findingCountBefore)
        return;
    for (auto& finding : newFindings(before, after)) {
        auto kindEnd = finding.place.find('/');
        auto nameEnd = kindEnd == std::string::npos ? kindEnd : finding.place.find('/', kindEnd + 1);
        auto file = fileOf.find(finding.place.substr(0, nameEnd));
        if (file != fileOf.end())
            finding.place = file->second + ": " + finding.place;
        findings.push_back(std::move(finding));
    }
}

} // namespace agatevane::ctl
