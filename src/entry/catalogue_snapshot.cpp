#include "entry/catalogue_snapshot.h"

namespace agatevane::entry {

SnapshotPointer makeSnapshot(const Catalogue& catalogue)
{
    auto snapshot = std::make_shared<CatalogueSnapshot>();
    static_cast<Catalogue&>(*snapshot) = catalogue;
    for (const auto& [id, caller] : catalogue.callers) {
        // An empty digest would let in a request with any token whose digest is missing.
        if (!caller->tokenDigest.empty())
            snapshot->callersByTokenDigest.emplace(caller->tokenDigest, caller);
    }
    return snapshot;
}

} // namespace agatevane::entry
