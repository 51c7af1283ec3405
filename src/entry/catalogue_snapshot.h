#pragma once

#include "agatevane/catalogue/catalogue.h"
#include "agatevane/catalogue_feed/published.h"
#include <unordered_map>

namespace agatevane::entry {

//! The catalogue with an index for request handlers. It does not change after it was published.
struct CatalogueSnapshot : Catalogue {
    std::unordered_map<std::string, std::shared_ptr<const CallerEntry>> callersByTokenDigest;
};

using SnapshotPointer = std::shared_ptr<const CatalogueSnapshot>;

//! The current snapshot. A handler uses the snapshot that it loaded first for its whole request, and asks a
//! FreshCatalogue whether it still holds before the request takes effect.
using PublishedCatalogue = Published<CatalogueSnapshot>;

SnapshotPointer makeSnapshot(const Catalogue& catalogue);

} // namespace agatevane::entry
