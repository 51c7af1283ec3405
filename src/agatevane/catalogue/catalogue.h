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

void insert(Catalogue& catalogue, Entry entry);
void erase(Catalogue& catalogue, const EntryKey& key);

//! Faults between entries: references, guarantees against the data centre less its largest rack, floors, and names,
//! addresses and tokens used twice. Places are "<kind>/<name>/<field>".
Findings validate(const Catalogue& catalogue);

//! The faults that `after` has and `before` has not, so that a fault elsewhere doesn't block a change.
Findings newFindings(const Catalogue& before, const Catalogue& after);

} // namespace agatevane
