#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/http/message.h"
#include "entry/catalogue_snapshot.h"
#include <functional>
#include <optional>

namespace agatevane::entry {

//! Why a request may not be run under the catalogue of this VM.
enum class CatalogueRefusal { NotFresh, CallerChanged };

//! The published catalogue and the proof that it is fresh. A VM may be paused between any two steps of a request, and a
//! newer snapshot may be published meanwhile, so the proof holds only for snapshots that are loaded after it.
struct FreshCatalogue {
    PublishedCatalogue& published;
    std::function<bool()> isFresh; //!< returns whether the published snapshot is proved to be fresh

    //! Returns the published snapshot, or null if it is not proved to be fresh.
    SnapshotPointer load() const;

    //! Returns why a request of `caller`, who was authenticated by `snapshot`, may not be run now, or nothing if it
    //! may. Must be called right before the request takes effect.
    std::optional<CatalogueRefusal> findRefusal(const SnapshotPointer& snapshot, const CallerEntry& caller) const;
};

//! Answers a request that was not run.
void writeRefusal(CatalogueRefusal refusal, http::Response& response);

} // namespace agatevane::entry

namespace agatevane {

//! The titles of the answers.
template <> struct EnumNames<entry::CatalogueRefusal> {
    static constexpr std::array<std::pair<entry::CatalogueRefusal, std::string_view>, 2> table { {
        { entry::CatalogueRefusal::NotFresh, "the catalogue is not proved to be fresh" },
        { entry::CatalogueRefusal::CallerChanged, "the caller's entry in the catalogue has changed" },
    } };
};

} // namespace agatevane
