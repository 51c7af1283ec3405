#include "agatevane/catalogue_writer/catalogue_writer.h"

#include "agatevane/catalogue/codec.h"
#include <algorithm>
#include <thread>

namespace agatevane {

namespace {

    // The longest wait for one call of the store. It leaves time to resolve a lost answer while the operator waits.
    constexpr Millis callTimeout { 2000 };
    constexpr std::int64_t maxBackoffMs = 40; //!< upper bound of the random pause before the next attempt

} // namespace

//! The state of one change in progress. All writes of the change carry the same token.
struct CatalogueWriter::Attempt {
    std::string token;
    Instant deadline;
    ChangeLog log;
    store::Revision logRevision = 0; //!< revision of the change log; 0: the log does not exist yet
    std::optional<std::int64_t> unresolvedSince; //!< log count before the first write whose answer was lost
    std::int64_t entryRevision = 0; //!< revision of the entry that the write replaces; 0: no entry
    std::optional<ChangeResult> result;

    Instant callDeadline() const { return std::min(deadline, now() + callTimeout); }

    void end(ChangeStatus status, std::string detail = {})
    {
        // While a write may still take effect, no other result than Done or Unknown is certain.
        if (unresolvedSince && status != ChangeStatus::Done)
            status = ChangeStatus::Unknown;
        result = ChangeResult { .status = status, .detail = std::move(detail) };
    }
};

CatalogueWriter::CatalogueWriter(store::Client& store, CatalogueFeed& feed)
    : store_(store)
    , feed_(feed)
    , random_(makeRandom())
{
}

ChangeResult CatalogueWriter::apply(const CatalogueChange& change, Instant deadline)
{
    Attempt attempt;
    attempt.deadline = deadline;
    {
        std::lock_guard lock(randomMutex_);
        attempt.token = randomToken(random_);
    }
    while (!attempt.result) {
        if (now() >= deadline) {
            attempt.end(ChangeStatus::Unavailable, "the store did not answer in time");
            break;
        }
        if (!readLog(attempt))
            continue;
        if (attempt.unresolvedSince) {
            auto outcome = changeOutcomeOf(attempt.log, attempt.token, *attempt.unresolvedSince);
            if (outcome == ChangeOutcome::Applied) {
                bool isNewest = attempt.log.tokens.front() == attempt.token;
                finish(attempt, change, isNewest ? attempt.logRevision : 0);
                break;
            }
            if (outcome == ChangeOutcome::Unknown) {
                attempt.end(ChangeStatus::Unknown, "too many changes since the answer was lost");
                break;
            }
        }
        if (checkPreconditions(attempt, change))
            write(attempt, change);
    }
    return *attempt.result;
}

bool CatalogueWriter::readLog(Attempt& attempt)
{
    auto read = store_.range({ .key = std::string(changeLogKey) }, attempt.callDeadline());
    if (!read.ok()) {
        if (attempt.unresolvedSince)
            backOff(attempt.deadline); // The log must be read again to learn whether the lost write took effect.
        else
            attempt.end(ChangeStatus::Unavailable, read.error.message());
        return false;
    }
    attempt.log = {};
    auto previousRevision = attempt.logRevision;
    attempt.logRevision = 0;
    if (!read.value.kvs.empty()) {
        auto log = decodeChangeLog(read.value.kvs.front().value);
        if (!log) {
            attempt.end(ChangeStatus::Unavailable, "the log of changes cannot be read");
            return false;
        }
        attempt.log = std::move(*log);
        attempt.logRevision = read.value.kvs.front().modRevision;
    }
    // A lost write compares the log's revision. Once another change has raised the revision, a write that is not in the
    // log can no longer take effect.
    bool isKnownNotApplied = attempt.unresolvedSince && attempt.logRevision != previousRevision
        && changeOutcomeOf(attempt.log, attempt.token, *attempt.unresolvedSince) == ChangeOutcome::NotApplied;
    if (isKnownNotApplied)
        attempt.unresolvedSince.reset();
    return true;
}

bool CatalogueWriter::checkPreconditions(Attempt& attempt, const CatalogueChange& change)
{
    if (auto error = feed_.refresh(attempt.callDeadline())) {
        if (attempt.unresolvedSince)
            backOff(attempt.deadline);
        else
            attempt.end(ChangeStatus::Unavailable, error.message());
        return false;
    }
    auto current = feed_.find(change.key);
    attempt.entryRevision = current ? current->revision : 0;
    bool mayOwnWriteBeVisible
        = attempt.unresolvedSince && change.expectedRevision && *change.expectedRevision != attempt.entryRevision;
    if (mayOwnWriteBeVisible) {
        // Either the lost write or another change has just taken effect. The next read of the log shows which.
        backOff(attempt.deadline);
        return false;
    }
    if (change.expectedRevision && *change.expectedRevision != attempt.entryRevision) {
        attempt.end(ChangeStatus::Conflict, "the entry has been changed meanwhile");
        attempt.result->currentRevision = attempt.entryRevision;
        if (current)
            attempt.result->current = std::move(current->value);
        return false;
    }
    if (!change.value && !current) {
        if (attempt.unresolvedSince) {
            backOff(attempt.deadline);
            return false;
        }
        attempt.end(ChangeStatus::NotFound);
        return false;
    }
    auto before = feed_.current();
    auto after = *before;
    Findings findings;
    if (change.value) {
        Entry entry;
        findings = decodeEntry(change.key.kind, *change.value, entry);
        if (findings.empty() && keyOf(entry) != change.key)
            findings.push_back({ "/id", "must be \"" + change.key.name + "\" as in the path" });
        if (findings.empty())
            insert(after, std::move(entry));
    } else {
        erase(after, change.key);
    }
    if (findings.empty())
        findings = newFindings(*before, after);
    if (!findings.empty()) {
        attempt.end(ChangeStatus::Invalid);
        attempt.result->findings = std::move(findings);
        return false;
    }
    return true;
}

void CatalogueWriter::write(Attempt& attempt, const CatalogueChange& change)
{
    auto key = storeKeyOf(change.key);
    auto log = encodeChangeLog(withChange(attempt.log, attempt.token));
    store::Txn txn { .compares = { store::modifiedAt(std::string(changeLogKey), attempt.logRevision),
                         store::modifiedAt(key, attempt.entryRevision) },
        .success = { { store::PutRequest { std::string(changeLogKey), std::move(log), 0 } } },
        .failure = {} };
    if (change.value)
        txn.success.push_back({ store::PutRequest { key, *change.value, 0 } });
    else
        txn.success.push_back({ store::DeleteRequest { key, "" } });
    auto written = store_.txn(txn, attempt.callDeadline());
    if (written.ok() && written.value.succeeded) {
        finish(attempt, change, written.revision);
    } else if (written.ok()) {
        // Another change, or an earlier copy of this write, was applied first.
        backOff(attempt.deadline);
    } else if (store::hadNoEffect(written.error)) {
        if (!attempt.unresolvedSince)
            attempt.end(ChangeStatus::Unavailable, written.detail.empty() ? written.error.message() : written.detail);
        else
            backOff(attempt.deadline);
    } else if (!attempt.unresolvedSince) {
        attempt.unresolvedSince = attempt.log.count;
    }
}

void CatalogueWriter::finish(Attempt& attempt, const CatalogueChange& change, std::int64_t revision)
{
    if (revision > 0) {
        feed_.apply({ storeKeyOf(change.key), revision, !change.value, change.value.value_or("") });
    } else {
        // Later changes followed this one. The view must contain this change before it is reported as accepted.
        if (feed_.refresh(attempt.callDeadline())) {
            attempt.end(ChangeStatus::Unknown, "the change was made, but its revision cannot be read");
            return;
        }
        auto current = feed_.find(change.key);
        revision = current ? current->revision : 0;
    }
    attempt.end(ChangeStatus::Done);
    attempt.result->revision = revision;
}

void CatalogueWriter::backOff(Instant deadline)
{
    Millis pause;
    {
        std::lock_guard lock(randomMutex_);
        pause = Millis(uniform(random_, 1, maxBackoffMs));
    }
    std::this_thread::sleep_until(std::min(deadline, now() + pause));
}

} // namespace agatevane
