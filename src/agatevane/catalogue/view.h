#pragma once

#include "agatevane/catalogue/catalogue.h"
#include <string>
#include <vector>

namespace agatevane {

//! One entry as the store holds it.
struct EntryUpdate {
    std::string key; //!< of the store
    std::int64_t revision = 0; //!< of the entry's last change
    bool isDeleted = false;
    std::string value; //!< JSON

    bool operator==(const EntryUpdate&) const = default;

    //! Sent between peers.
    template <typename Archive> void serialize(Archive& archive) { archive(key, revision, isDeleted, value); }
};

//! One process's copy of the catalogue. Updates arrive by several ways, late, doubled and out of order; an older
//! revision of an entry never replaces a newer one, and a deletion is kept as a tombstone for the same reason.
class CatalogueView {
public:
    //! False if the entry's revision was already known.
    bool apply(const EntryUpdate& update);

    //! `entries` are all that exist at `revision`; whatever is missing was deleted.
    void applyAll(const std::vector<EntryUpdate>& entries, std::int64_t revision);

    //! `changed` are the entries written after the view's revision as of the read at `revision`, at which `count`
    //! entries existed. False if an entry was deleted unnoticed: everything has to be read then.
    bool applyChanged(const std::vector<EntryUpdate>& changed, std::int64_t count, std::int64_t revision);

    //! All changes up to `revision` have been applied.
    void advance(std::int64_t revision);

    //! Every change up to this revision is included.
    std::int64_t revision() const { return catalogue_.revision; }
    //! The highest revision of any applied entry; above `revision()` while earlier changes may be missing.
    std::int64_t highestRevision() const { return highest_; }
    const Catalogue& catalogue() const { return catalogue_; }

    //! Entries and tombstones after `revision`, oldest first, up to about `maxBytes`. `hasMore` if that cut off some.
    std::vector<EntryUpdate> changesSince(std::int64_t revision, std::size_t maxBytes, bool& hasMore) const;

    //! Deletions before this revision may be unknown here, because the view began with a full read.
    std::int64_t tombstonesSince() const { return tombstonesSince_; }

    //! The entry as stored; null if it does not exist.
    const EntryUpdate* find(const EntryKey& key) const;

    //! Entries whose stored form cannot be read. The last readable version stays in force.
    const std::map<std::string, Findings>& unreadable() const { return unreadable_; }

private:
    std::map<std::string, EntryUpdate> entries_; //!< with tombstones, by store key
    std::map<std::string, Findings> unreadable_;
    Catalogue catalogue_;
    std::int64_t highest_ = 0;
    std::int64_t live_ = 0; //!< entries that are no tombstones
    std::int64_t tombstonesSince_ = 0;
};

} // namespace agatevane
