#pragma once

#include "agatevane/catalogue/catalogue.h"
#include "agatevane/catalogue_feed/published.h"
#include <unordered_map>

namespace agatevane::entry {

//! The catalogue with the index that request handlers need. Immutable after it was published.
struct CatalogueSnapshot : Catalogue {
    std::unordered_map<std::string, std::shared_ptr<const CallerEntry>> callersByTokenDigest;
};

using SnapshotPointer = std::shared_ptr<const CatalogueSnapshot>;

//! Handlers keep the snapshot that they loaded for their whole request.
using CatalogueHolder = Published<CatalogueSnapshot>;

SnapshotPointer makeSnapshot(const Catalogue& catalogue);

} // namespace agatevane::entry
