#include "agatevane/json/reader.h"
#include "ctl/catalogue_files.h"
#include "ctl/commands.h"
#include <algorithm>
#include <ostream>

namespace agatevane::ctl {

namespace {

    std::string pathOf(EntryKind kind, const std::string& name)
    {
        return "/v1/catalogue/" + std::string(nameOf(kind)) + "/" + name;
    }

    const nlohmann::json* findCurrent(const nlohmann::json& catalogue, const FileEntry& entry)
    {
        if (!catalogue.is_object() || !catalogue.contains("entries"))
            return nullptr;
        for (const auto& element : catalogue["entries"]) {
            if (element.value("kind", "") == nameOf(entry.kind) && element.value("name", "") == entry.name)
                return &element;
        }
        return nullptr;
    }

    //! The entries of the files and the catalogue in force. The exit code is Success if the files have no findings and
    //! the entry VM sent its catalogue.
    struct LoadedFiles {
        ExitCode exitCode = Success;
        std::vector<FileEntry> entries;
        nlohmann::json current;
    };

    LoadedFiles load(const Context& context, const std::vector<std::string>& files)
    {
        LoadedFiles loaded;
        Findings findings;
        loaded.entries = readCatalogueFiles(files, findings);
        auto answer = sendRequest(context, "GET", "/v1/catalogue");
        loaded.current = std::move(answer.body);
        if (answer.exitCode == Success && findings.empty())
            checkCombined(loaded.entries, loaded.current, findings);
        if (!findings.empty()) {
            context.err << format(findings) << findings.size() << " finding" << (findings.size() == 1 ? "" : "s")
                        << "; nothing was changed\n";
            loaded.exitCode = Invalid;
        } else {
            loaded.exitCode = answer.exitCode;
        }
        return loaded;
    }

    bool isUnchanged(const nlohmann::json& current, const FileEntry& entry)
    {
        return normalized(entry.kind, current["entry"]) == normalized(entry.kind, entry.value);
    }

    void printDifference(
        const Context& context, const std::string& entryPath, const nlohmann::json& before, const nlohmann::json& after)
    {
        for (const auto& change : nlohmann::json::diff(before, after)) {
            auto operation = change.value("op", "");
            auto pointer = nlohmann::json::json_pointer(change.value("path", ""));
            context.out << entryPath << change.value("path", "") << ": ";
            if (operation != "add")
                context.out << json::dump(before.at(pointer));
            context.out << " -> " << (operation == "remove" ? "" : json::dump(change["value"])) << "\n";
        }
    }

} // namespace

ExitCode getEntry(const Context& context, EntryKind kind, const std::string& name)
{
    auto answer = sendRequest(context, "GET", pathOf(kind, name));
    if (answer.exitCode != Success)
        return answer.exitCode;
    // An entry is printed in the form in which `set` reads it.
    nlohmann::json file { { std::string(nameOf(kind)), nlohmann::json::array({ answer.body }) } };
    context.out << file.dump(4, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    context.err << "revision " << answer.etag << "\n";
    return Success;
}

ExitCode listEntries(const Context& context, const std::string& kind)
{
    auto answer = sendRequest(context, "GET", kind.empty() ? "/v1/catalogue" : "/v1/catalogue?kind=" + kind);
    if (answer.exitCode == Success) {
        printRows(context, answer.body, "entries",
            { { "KIND", "kind" }, { "NAME", "name" }, { "OWNER", "entry/owner" }, { "REVISION", "revision" } });
    }
    return answer.exitCode;
}

ExitCode validateEntries(const Context& context, const std::vector<std::string>& files)
{
    auto loaded = load(context, files);
    if (loaded.exitCode == Success)
        context.out << loaded.entries.size() << " entries are valid\n";
    return loaded.exitCode;
}

ExitCode diffEntries(const Context& context, const std::vector<std::string>& files)
{
    auto loaded = load(context, files);
    if (loaded.exitCode != Success)
        return loaded.exitCode;
    bool differs = false;
    for (const auto& entry : loaded.entries) {
        const auto* current = findCurrent(loaded.current, entry);
        if (current && isUnchanged(*current, entry))
            continue;
        differs = true;
        if (current)
            printDifference(context, entry.path(), normalized(entry.kind, (*current)["entry"]),
                normalized(entry.kind, entry.value));
        else
            context.out << entry.path() << ": new\n";
    }
    return differs ? Differs : Success;
}

ExitCode setEntries(const Context& context, const std::vector<std::string>& files)
{
    auto loaded = load(context, files);
    if (loaded.exitCode != Success)
        return loaded.exitCode;
    std::size_t written = 0;
    for (const auto& entry : loaded.entries) {
        const auto* current = findCurrent(loaded.current, entry);
        if (current && isUnchanged(*current, entry)) {
            context.out << entry.path() << ": unchanged\n";
            continue;
        }
        http::Headers condition { { "If-None-Match", "*" } };
        if (current)
            condition = { { "If-Match", "\"" + std::to_string(current->value("revision", 0LL)) + "\"" } };
        auto answer = sendRequest(context, "PUT", pathOf(entry.kind, entry.name), json::dump(entry.value), condition);
        if (answer.exitCode != Success) {
            context.err << entry.path() << " of " << entry.file << " was "
                        << (answer.exitCode == Unknown ? "perhaps" : "not") << " written; " << written
                        << " entries before it were. Run the command again after reading `catalogue diff`.\n";
            return answer.exitCode;
        }
        ++written;
        context.out << entry.path() << ": revision " << answer.etag << "\n";
    }
    return Success;
}

ExitCode deleteEntry(const Context& context, EntryKind kind, const std::string& name)
{
    auto current = sendRequest(context, "GET", pathOf(kind, name));
    if (current.exitCode != Success)
        return current.exitCode;
    auto answer = sendRequest(context, "DELETE", pathOf(kind, name), "", { { "If-Match", current.etag } });
    if (answer.exitCode == Success)
        context.out << nameOf(kind) << "/" << name << ": deleted\n";
    return answer.exitCode;
}

} // namespace agatevane::ctl
