#pragma once

#include "agatevane/admin/admin.h"
#include "agatevane/base/hash.h"
#include "agatevane/base/token.h"
#include "agatevane/http/client.h"
#include <map>
#include <mutex>

namespace agatevane::admin {

//! An HTTP server with the administration routes and an in-memory catalogue. The valid tokens are "root" (an operator),
//! "north" and "south" (callers).
struct FakeEntry {
    std::mutex mutex;
    std::int64_t revision = 10;
    std::map<std::pair<EntryKind, std::string>, StoredEntry> entries;
    ChangeStatus forcedStatus = ChangeStatus::Accepted;
    Findings findings;
    std::vector<DataCentreStatus> dataCentres;
    std::string drainedVm;
    http::Server server;

    FakeEntry()
    {
        store(EntryKind::Workspace, "north", R"({"id":"north","owner":"north","weight":1})");
        store(EntryKind::Caller, "north", R"({"id":"north","owner":"north","workspace":"north"})");
        registerAdminRoutes(server, functions());
        if (server.bind("127.0.0.1", 0))
            std::abort();
        server.start();
    }

    void store(EntryKind kind, const std::string& name, const std::string& json)
    {
        entries[{ kind, name }] = { kind, name, ++revision, json };
    }

    ChangeResult change(const Change& change)
    {
        std::lock_guard lock(mutex);
        auto found = entries.find({ change.kind, change.name });
        auto current = found == entries.end() ? 0 : found->second.revision;
        if (forcedStatus != ChangeStatus::Accepted)
            return { forcedStatus, 0, findings, std::nullopt };
        if (current != change.expectedRevision)
            return { ChangeStatus::Conflict, 0, {}, found->second };
        ++revision;
        if (change.json)
            entries[{ change.kind, change.name }] = { change.kind, change.name, revision, *change.json };
        else
            entries.erase(found);
        return { ChangeStatus::Accepted, revision, {}, std::nullopt };
    }

    Functions functions()
    {
        Functions functions;
        functions.findCallerByTokenDigest = [](const std::string& digest) -> std::optional<CallerEntry> {
            for (const char* name : { "root", "north", "south" }) {
                if (digest == tokenDigestOf(name)) {
                    CallerEntry caller { .id = { name }, .workspace = { name } };
                    caller.isOperator = caller.id.value == "root";
                    return caller;
                }
            }
            return std::nullopt;
        };
        functions.catalogue = [this] {
            std::lock_guard lock(mutex);
            StoredCatalogue catalogue { revision, {} };
            for (const auto& [key, entry] : entries)
                catalogue.entries.push_back(entry);
            return catalogue;
        };
        functions.findEntry = [this](EntryKind kind, const std::string& name) -> std::optional<StoredEntry> {
            std::lock_guard lock(mutex);
            auto found = entries.find({ kind, name });
            return found == entries.end() ? std::nullopt : std::optional(found->second);
        };
        functions.change = [this](const Change& proposed) { return change(proposed); };
        functions.dataCentres = [this] { return dataCentres; };
        functions.members = [] {
            membership::Member member;
            member.record = { { "entry-1" }, { "10.0.0.1", 7000 }, 3, membership::MemberState::Suspected };
            member.silentSince = now();
            return std::vector<membership::Member> { member };
        };
        functions.drain = [this](const MemberId& vm) {
            drainedVm = vm.value;
            return vm.value == "entry-1" ? DrainStatus::Started : DrainStatus::NoSuchVm;
        };
        return functions;
    }

    http::ClientResult sendRequest(const std::string& token, const std::string& method, const std::string& path,
        const std::string& body = "", http::Headers headers = {})
    {
        headers.emplace("Authorization", "Bearer " + token);
        http::Client client({ "127.0.0.1", server.port() });
        return client.request(method, path, body, now() + Millis(5000), headers);
    }
};

} // namespace agatevane::admin
