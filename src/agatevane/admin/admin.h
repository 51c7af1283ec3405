#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/catalogue/entries.h"
#include "agatevane/http/server.h"
#include "agatevane/membership/members.h"
#include "agatevane/peer_api/messages.h"
#include <functional>
#include <optional>
#include <string>
#include <vector>

//! The administration interface of the entry: catalogue, workspaces, fleet, members, owners, and the drain of a VM.
namespace agatevane::admin {

//! An entry as the store holds it.
struct StoredEntry {
    EntryKind kind = EntryKind::Workspace;
    std::string name;
    std::int64_t revision = 0; //!< of its last change; also its ETag
    std::string json;
};

struct StoredCatalogue {
    std::int64_t revision = 0;
    std::vector<StoredEntry> entries;
};

//! A conditional change.
struct Change {
    EntryKind kind = EntryKind::Workspace;
    std::string name;
    std::int64_t expectedRevision = 0; //!< 0: the entry must not exist
    std::optional<std::string> json; //!< nothing: delete
};

enum class ChangeStatus {
    Accepted, //!< durable, and in force everywhere within 10 s
    Conflict, //!< the entry has another revision
    Invalid,
    Unavailable, //!< the store cannot be reached; nothing was changed
    Unknown //!< no answer; the change may be in force
};

struct ChangeResult {
    ChangeStatus status = ChangeStatus::Unknown;
    std::int64_t revision = 0; //!< of the accepted change
    Findings findings; //!< places are fields of the entry, or other entries that it contradicts
    std::optional<StoredEntry> current; //!< the version in force after a conflict; nothing if there is none
};

enum class DrainStatus { Started, NoSuchVm, Unreachable, Unknown };

struct DataCentreStatus {
    DataCentreId dataCentre;
    ShardStatusReply reply;
};

//! What the handlers need from the entry. Called from several threads.
struct Functions {
    std::function<std::optional<CallerEntry>(const std::string& tokenDigest)> callerByToken;
    std::function<StoredCatalogue()> catalogue;
    std::function<std::optional<StoredEntry>(EntryKind kind, const std::string& name)> findEntry;
    std::function<ChangeResult(const Change& change)> change;
    std::function<std::vector<DataCentreStatus>()> dataCentres; //!< asks all owners
    std::function<std::vector<membership::Member>()> members; //!< with this VM
    std::function<DrainStatus(const MemberId& vm)> drain; //!< passes the request on if it is for another VM
};

//! Adds the routes; call before the server starts. Reading needs a valid token and draining an operator's. An entry is
//! changed by its owner, the caller whose id is its `owner`, or by an operator.
void registerAdminRoutes(http::Server& server, Functions functions);

} // namespace agatevane::admin
