#pragma once

#include "agatevane/catalogue/catalogue.h"
#include <string>
#include <vector>

namespace agatevane {

//! One entry as it is stored, or its deletion.
struct EntryUpdate {
    std::string key; //!< store key
    std::int64_t revision = 0; //!< revision of the entry's last change
    bool isDeleted = false;
    std::string value; //!< JSON

    bool operator==(const EntryUpdate&) const = default;

    //! The encoding in messages between peers.
    template <typename Archive> void serialize(Archive& archive) { archive(key, revision, isDeleted, value); }
};

//! One process's copy of the catalogue. Updates arrive from several sources and may be late, duplicated or out of
//! order. So an older revision of an entry never replaces a newer one, and a deletion is kept as a tombstone.
class CatalogueView {
public:
    //! Returns false and changes nothing if this revision of the entry, or a newer one, is already known.
    bool apply(const EntryUpdate& update);

    //! Applies a full read. `entries` are all entries that exist at `revision`; entries that are missing have been
    //! deleted.
    void applyAll(const std::vector<EntryUpdate>& entries, std::int64_t revision);

    //! Applies a read of changes at `revision`. `changed` are the entries written after the view's revision, and
    //! `count` is the number of all entries that existed. Returns false if a deletion was missed; then a full read is
    //! needed.
    bool applyChanged(const std::vector<EntryUpdate>& changed, std::int64_t count, std::int64_t revision);

    //! States that all changes up to `revision` have been applied.
    void advance(std::int64_t revision);

    //! Every change up to this revision is included.
    std::int64_t revision() const { return catalogue_.revision; }
    //! The highest revision that is known. It is above `revision()` while earlier changes may be missing.
    std::int64_t highestRevision() const { return highestRevision_; }
    const Catalogue& catalogue() const { return catalogue_; }

    //! Entries and tombstones after `revision`, oldest first, up to about `maxBytes`. Sets `hasMore` if there are more.
    std::vector<EntryUpdate> changesSince(std::int64_t revision, std::size_t maxBytes, bool& hasMore) const;

    //! Deletions before this revision may be unknown here, since a full read does not contain deletions.
    std::int64_t tombstonesSince() const { return tombstonesSince_; }

    //! The entry as it is stored; null if it does not exist.
    const EntryUpdate* find(const EntryKey& key) const;

    //! Entries whose stored form cannot be read, by store key. The last readable version stays in force.
    const std::map<std::string, Findings>& unreadable() const { return unreadable_; }

private:
    std::map<std::string, EntryUpdate> entries_; //!< entries and tombstones by store key
    std::map<std::string, Findings> unreadable_;
    Catalogue catalogue_;
    std::int64_t highestRevision_ = 0;
    std::int64_t liveCount_ = 0; //!< number of entries that are not tombstones
    std::int64_t tombstonesSince_ = 0;
};

} // namespace agatevane
