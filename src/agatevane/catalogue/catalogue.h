#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/catalogue/entry.h"
#include <cstdint>
#include <map>
#include <memory>

namespace agatevane {

template <typename Key, typename T> using EntryMap = std::map<Key, std::shared_ptr<const T>>;

//! All entries as of one revision of the store. Immutable once published; copies share the entries.
struct Catalogue {
    std::int64_t revision = 0;
    EntryMap<WorkspaceId, WorkspaceEntry> workspaces;
    EntryMap<CallerId, CallerEntry> callers;
    EntryMap<ServiceId, ServiceEntry> services;
    EntryMap<DataCentreId, DataCentreEntry> dataCentres;
    EntryMap<std::string, LinkEntry> links;
    std::shared_ptr<const PolicyEntry> policy = std::make_shared<const PolicyEntry>();
};

//! Adds the entry or replaces the one with the same key.
void insert(Catalogue& catalogue, Entry entry);
//! Removes the entry. A removed policy is replaced by the default policy.
void erase(Catalogue& catalogue, const EntryKey& key);

//! Finds contradictions between entries: references to entries that do not exist, guarantees above the accelerators
//! that remain without the largest rack of a data centre, floors that add up to more than 1, and workers, addresses and
//! tokens that are used twice. Places are "<kind>/<name>/<field>".
Findings validate(const Catalogue& catalogue);

//! The findings of validate() for `after` that `before` does not have. So a fault that
//! already exists elsewhere does not block a change.
Findings newFindings(const Catalogue& before, const Catalogue& after);

} // namespace agatevane
