#pragma once

#include "agatevane/base/random.h"
#include "agatevane/catalogue_feed/catalogue_feed.h"
#include "agatevane/catalogue_writer/change_log.h"
#include <mutex>
#include <optional>
#include <string>

namespace agatevane {

struct CatalogueChange {
    EntryKey key;
    std::optional<std::string> value; //!< JSON; nothing deletes the entry
    //! The store revision on which the change is based (If-Match); 0: the entry must not exist; nothing: any.
    std::optional<std::int64_t> expectedRevision;
};

enum class ChangeStatus {
    Done,
    Conflict, //!< the entry has another revision; both versions are in the result
    Invalid, //!< `findings`
    NotFound, //!< a deletion of an entry that does not exist
    Unavailable, //!< the store cannot be reached; the change was not made
    Unknown //!< the store did not answer in time; the change may have been made
};

struct ChangeResult {
    ChangeStatus status = ChangeStatus::Unknown;
    std::int64_t revision = 0; //!< of the entry after the change
    Findings findings;
    std::optional<std::string> current; //!< the entry in force, for Conflict; nothing if it does not exist
    std::int64_t currentRevision = 0;
    std::string detail;
};

//! The only way in which the catalogue is changed. Thread-safe.
class CatalogueWriter {
public:
    CatalogueWriter(store::Client& store, CatalogueFeed& feed);

    //! Validates the change against all entries as of now and writes it. Blocks until the deadline at the latest.
    ChangeResult apply(const CatalogueChange& change, Instant deadline);

private:
    struct Attempt;

    bool readLog(Attempt& attempt);
    bool check(Attempt& attempt, const CatalogueChange& change);
    void write(Attempt& attempt, const CatalogueChange& change);
    void finish(Attempt& attempt, const CatalogueChange& change, std::int64_t revision);
    void backOff(Instant deadline);

    store::Client& store_;
    CatalogueFeed& feed_;
    std::mutex randomMutex_;
    Random random_;
};

} // namespace agatevane
