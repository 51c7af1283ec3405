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

//! The administration interface of the entry. It gives access to the catalogue, workspaces, the fleet, members and
//! owners, and drains VMs.
namespace agatevane::admin {

//! A catalogue entry as it is stored.
struct StoredEntry {
    EntryKind kind = EntryKind::Workspace;
    std::string name;
    std::int64_t revision = 0; //!< revision of the last change; also the entry's ETag
    std::string json;
};

struct StoredCatalogue {
    std::int64_t revision = 0;
    std::vector<StoredEntry> entries;
};

//! A change of one entry that is made only if the entry has the expected revision.
struct Change {
    EntryKind kind = EntryKind::Workspace;
    std::string name;
    std::int64_t expectedRevision = 0; //!< 0: the entry must not exist
    std::optional<std::string> json; //!< new value; no value deletes the entry
};

enum class ChangeStatus {
    Accepted, //!< durable, and in force everywhere within 10 s
    Conflict, //!< the entry has another revision
    Invalid, //!< the entry breaks a rule; the reasons are in `findings`
    Unavailable, //!< the store cannot be reached; nothing was changed
    Unknown //!< the store did not answer; the change may be in force
};

struct ChangeResult {
    ChangeStatus status = ChangeStatus::Unknown;
    std::int64_t revision = 0; //!< revision of the accepted change
    Findings findings; //!< places are fields of the entry, or other entries that it contradicts
    std::optional<StoredEntry>
        current; //!< after a conflict, the version in force; no value if the entry does not exist
};

enum class DrainStatus { Started, NoSuchVm, Unreachable, Unknown };

struct DataCentreStatus {
    DataCentreId dataCentre;
    ShardStatusReply reply;
};

//! The functions of the entry process that the handlers call. They are called from several threads.
struct Functions {
    std::function<std::optional<CallerEntry>(const std::string& tokenDigest)> findCallerByTokenDigest;
    std::function<StoredCatalogue()> catalogue;
    std::function<std::optional<StoredEntry>(EntryKind kind, const std::string& name)> findEntry;
    std::function<ChangeResult(const Change& change)> change;
    std::function<std::vector<DataCentreStatus>()> dataCentres; //!< requests the status from all owners
    std::function<std::vector<membership::Member>()> members; //!< all members, including this VM
    std::function<DrainStatus(const MemberId& vm)> drain; //!< forwards the request if `vm` is another VM
};

//! Adds the administration routes. Must be called before the server starts. Reading needs a valid token, and draining
//! needs the token of an operator. An entry may be changed by operators and by the caller whose id is in its `owner`.
void registerAdminRoutes(http::Server& server, Functions functions);

} // namespace agatevane::admin
