#include "entry/catalogue_snapshot.h"

namespace agatevane::entry {

SnapshotPointer makeSnapshot(const Catalogue& catalogue)
{
    auto snapshot = std::make_shared<CatalogueSnapshot>();
    static_cast<Catalogue&>(*snapshot) = catalogue;
    for (const auto& [id, caller] : catalogue.callers) {
        // Callers without a token digest are left out, so that no request can match an empty digest.
        if (!caller->tokenDigest.empty())
            snapshot->callersByTokenDigest.emplace(caller->tokenDigest, caller);
    }
    return snapshot;
}

} // namespace agatevane::entry
