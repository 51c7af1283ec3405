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
    std::optional<std::string> value; //!< JSON; no value deletes the entry
    //! The store revision of the entry on which the change is based (If-Match). 0: the entry must not exist; no value:
    //! any revision is accepted.
    std::optional<std::int64_t> expectedRevision;
};

enum class ChangeStatus {
    Done,
    Conflict, //!< the entry has another revision, which the result contains with its value
    Invalid, //!< the change breaks a rule; the reasons are in `findings`
    NotFound, //!< the entry to delete does not exist
    Unavailable, //!< the store cannot be reached; the change was not made
    Unknown //!< the store did not answer in time; the change may have been made
};

struct ChangeResult {
    ChangeStatus status = ChangeStatus::Unknown;
    std::int64_t revision = 0; //!< revision of the entry after the change
    Findings findings;
    std::optional<std::string> current; //!< after a conflict, the entry in force; no value if it does not exist
    std::int64_t currentRevision = 0; //!< after a conflict, the revision of `current`; 0: the entry does not exist
    std::string detail;
};

//! Changes entries of the catalogue. Every change of the catalogue goes through this class. Thread-safe.
class CatalogueWriter {
public:
    CatalogueWriter(store::Client& store, CatalogueFeed& feed);

    //! Validates the change against the newest version of all entries and writes it. Blocks until the deadline at the
    //! latest.
    ChangeResult apply(const CatalogueChange& change, Instant deadline);

private:
    struct Attempt;

    bool readLog(Attempt& attempt);
    bool checkPreconditions(Attempt& attempt, const CatalogueChange& change);
    void write(Attempt& attempt, const CatalogueChange& change);
    void finish(Attempt& attempt, const CatalogueChange& change, std::int64_t revision);
    void backOff(Instant deadline);

    store::Client& store_;
    CatalogueFeed& feed_;
    std::mutex randomMutex_;
    Random random_;
};

} // namespace agatevane
