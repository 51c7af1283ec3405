#include "node/owner_election.h"

#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include "node/unreadable_records.h"
#include <algorithm>

namespace agatevane::node {

namespace {

    using event_log::Line;

    constexpr Millis tickInterval { 100 };
    //! Long enough that the lease does not expire while the store is slow, short enough that an owner that has crashed
    //! is replaced within seconds.
    constexpr Millis preferredLeaseTtl { 1500 };
    //! Shorter than the remaining time of the lease, so that there is time for another renewal if an answer is lost.
    constexpr Millis maxRenewalTimeout { 500 };
    constexpr Millis watchWait { 3000 };
    //! Time beyond the wait in which a slow store may answer a watch. After that the watch is sent again.
    constexpr Millis watchMargin { 800 };
    //! Candidates spread their attempts over this time. An owner whose lease has expired makes its attempt at once.
    constexpr std::int64_t candidacySpreadMs = 150;
    //! By how much the store's clock may be faster than this machine's, as a share of the elapsed time.
    constexpr double maxStoreClockLead = 0.02;
    //! The store may count in whole milliseconds.
    constexpr Millis storeClockStep { 1 };

    //! Shortest time on this machine's clock after which a lease of `ttl` ends, counted from when the call that granted
    //! or renewed it was sent.
    Millis minLeaseDuration(Millis ttl)
    {
        auto shortest = static_cast<double>(ttl.count()) * (1 - maxStoreClockLead);
        return Millis(static_cast<std::int64_t>(shortest)) - storeClockStep;
    }

} // namespace

OwnerElection::OwnerElection(asio::io_context& context, kv::Store& store, const OwnerRecord& self, Millis minLeaseTtl,
    Millis candidacyDelay, Millis maxUnconfirmedOwnership, Callbacks callbacks)
    : store_(store)
    , self_(self)
    , ttl_(std::max(preferredLeaseTtl, minLeaseTtl))
    , leaseTtl_(ttl_)
    , candidacyDelay_(candidacyDelay)
    , maxUnconfirmedOwnership_(maxUnconfirmedOwnership)
    , callbacks_(std::move(callbacks))
    , tickTimer_(context)
    , watchTimer_(context)
{
}

void OwnerElection::start()
{
    tick();
    readOwner();
}

void OwnerElection::limitUnconfirmedOwnership(Millis bound)
{
    maxUnconfirmedOwnership_ = std::min(maxUnconfirmedOwnership_, bound);
}

void OwnerElection::resign()
{
    isResigned_ = true;
    if (isOwner_)
        loseOwnership("resigned");
    if (lease_ != 0)
        store_.endLease(lease_, now() + callTimeout, [](const kv::LeaseResult&) {});
    lease_ = 0;
}

bool OwnerElection::isOutcomeUnknown(std::error_code error)
{
    return error == Errc::Timeout || error == Errc::Disconnected || error == Errc::OutcomeUnknown;
}

void OwnerElection::noteStoreAnswer(std::error_code error)
{
    if (isOutcomeUnknown(error) || error == Errc::Unreachable || error == Errc::Refused)
        return;
    lastStoreAnswer_ = bootNow();
}

void OwnerElection::tick()
{
    tickTimer_.arm(tickInterval, [this] { tick(); });
    if (isResigned_)
        return;
    auto at = bootNow();
    if (isOwner_ && at > ownershipEndsBy())
        loseOwnership("not_confirmed_by_store");
    // Only the owner and the candidates hold a lease, because each renewal is a paid call.
    bool needsLease = isOwner_ || (isOwnerKeyAbsent_ && at >= nextCampaignAt_);
    if (needsLease && !isLeaseCallInFlight_ && at >= nextRenewal_) {
        if (lease_ == 0)
            requestLease();
        else
            sendRenewal();
    }
    claimOwnerKey();
}

void OwnerElection::claimOwnerKey()
{
    if (!isOwnerKeyAbsent_ || lease_ == 0 || isClaimInProgress_ || bootNow() < nextCampaignAt_)
        return;
    if (isOwner_)
        restoreOwnerKey();
    else
        startCampaign();
}

void OwnerElection::requestLease()
{
    isLeaseCallInFlight_ = true;
    auto sentAt = bootNow();
    store_.grantLease(ttl_, now() + callTimeout, liveness_.guard([this, sentAt](const kv::LeaseResult& result) {
        isLeaseCallInFlight_ = false;
        noteStoreAnswer(result.error);
        if (!result.error && result.ttl > Millis(0))
            leaseTtl_ = std::min(ttl_, result.ttl);
        nextRenewal_ = bootNow() + (result.error ? retryPause : leaseTtl_ / 4);
        if (result.error)
            return;
        lease_ = result.lease;
        leaseRenewedAt_ = sentAt;
        claimOwnerKey();
    }));
}

void OwnerElection::sendRenewal()
{
    isLeaseCallInFlight_ = true;
    auto sentAt = bootNow();
    auto lease = lease_;
    auto timeout = responseTimeout(renewalTimes_, maxRenewalTimeout);
    store_.renewLease(lease, now() + timeout, liveness_.guard([this, sentAt, lease](const kv::LeaseResult& result) {
        isLeaseCallInFlight_ = false;
        if (result.error == Errc::Timeout)
            addTimeout(renewalTimes_);
        else if (!result.error)
            addResponse(renewalTimes_, elapsed(sentAt, bootNow()));
        if (lease != lease_)
            return;
        if (result.hasEnded && !isOwner_) {
            lease_ = 0;
            return;
        }
        if (result.hasEnded) {
            Line("lease_lost").with("lease", lease_).with("seated", isOwner_);
            lease_ = ownerKeyLease_ = 0;
            lastStoreAnswer_ = bootNow();
            nextRenewal_ = bootNow();
            if (isOwner_)
                readOwner();
            return;
        }
        noteStoreAnswer(result.error);
        // After a timeout the renewal has waited already, and the lease goes on running out.
        auto pause = result.error == Errc::Timeout ? Millis(0) : retryPause;
        nextRenewal_ = bootNow() + (result.error ? pause : leaseTtl_ / 4);
        if (result.error)
            return;
        leaseRenewedAt_ = sentAt;
        // The store removes the owner key when its lease ends, so a successful renewal of it confirms the
        // ownership.
        if (isOwner_ && lease_ == ownerKeyLease_)
            confirmedAt_ = sentAt;
    }));
}

void OwnerElection::readOwner()
{
    // Makes the answer of a pending watch obsolete.
    auto generation = ++watchGeneration_;
    store_.get(ownerKey, { now() + callTimeout, {} }, liveness_.guard([this, generation](const kv::ReadResult& result) {
        noteStoreAnswer(result.error);
        if (generation != watchGeneration_)
            return;
        if (result.error) {
            watchTimer_.arm(retryPause, [this] { readOwner(); });
            return;
        }
        if (!result.items.empty()) {
            applyOwnerItem(&result.items.front(), result.asOf);
            return watch();
        }
        // A missing key has no revision to watch from, but a listing returns the revision up to which it has read.
        store_.list(
            ownerKey, { now() + callTimeout, {} }, liveness_.guard([this, generation](const kv::ReadResult& listed) {
                noteStoreAnswer(listed.error);
                if (generation != watchGeneration_)
                    return;
                if (listed.error) {
                    watchTimer_.arm(retryPause, [this] { readOwner(); });
                    return;
                }
                applyOwnerItem(listed.items.empty() ? nullptr : &listed.items.front(), listed.asOf);
                watch();
            }));
    }));
}

void OwnerElection::watch()
{
    auto deadline = now() + watchWait + watchMargin;
    store_.watch(ownerKey, watchedRevision_, watchWait, { deadline, {} },
        liveness_.guard([this, generation = watchGeneration_](const kv::WatchResult& result) {
            noteStoreAnswer(result.error);
            if (generation != watchGeneration_)
                return;
            if (result.error) {
                // The store may have discarded the history after the watched revision, and a watch that timed out may
                // have missed a change, so the key is read again.
                watchTimer_.arm(result.isHistoryCompacted ? Millis(0) : retryPause, [this] { readOwner(); });
                return;
            }
            watchedRevision_ = std::max(watchedRevision_, result.asOf);
            for (const auto& change : result.changes)
                applyOwnerItem(change.isRemoval ? nullptr : &change.item, change.item.revision);
            watch();
        }));
}

void OwnerElection::applyOwnerItem(const kv::Item* item, kv::Revision asOf)
{
    watchedRevision_ = std::max(watchedRevision_, asOf);
    if (!item) {
        damagedOwnerRevision_ = 0;
        return noteOwnerAbsent(asOf);
    }
    auto record = decodeRecord<OwnerRecord>(item->value);
    if (!record) {
        reportUnreadableRecord(*item);
        // An owner binds its record to its lease. No lease ends this one, so the next owner replaces it.
        if (item->lease == 0) {
            damagedOwnerRevision_ = item->revision;
            noteOwnerAbsent(item->revision);
        }
        return;
    }
    damagedOwnerRevision_ = 0;
    if (!isOutdated(item->revision))
        isOwnerKeyAbsent_ = false;
    endLeaseOfPreviousProcess(*item, *record);
    // The answer to the commit that wrote the key may have been lost.
    if (isOwner_ && record->token == self_.token && item->lease == lease_)
        ownerKeyLease_ = lease_;
    applyOwnerView({ item->revision, *record });
}

void OwnerElection::noteOwnerAbsent(kv::Revision asOf)
{
    if (asOf < owner_.revision)
        return;
    ownerAbsentAsOf_ = std::max(ownerAbsentAsOf_, asOf);
    if (std::exchange(isOwnerKeyAbsent_, true))
        return;
    auto delay = isOwner_ ? Millis(0) : candidacyDelay_ + Millis(uniform(random_, 0, candidacySpreadMs));
    nextCampaignAt_ = bootNow() + delay;
    nextRenewal_ = nextCampaignAt_;
    Line("owner_absent").with("revision", asOf).with("last_owner", owner_.record.name);
}

bool OwnerElection::isOutdated(kv::Revision revision) const
{
    return revision < owner_.revision || revision < ownerAbsentAsOf_;
}

//! The owner key belongs to the process that ran on this machine before this one. Ending its lease removes the key, so
//! that the next election does not wait until the lease expires.
void OwnerElection::endLeaseOfPreviousProcess(const kv::Item& item, const OwnerRecord& record)
{
    if (record.name != self_.name || record.token == self_.token || isOwner_ || item.lease == 0)
        return;
    Line("earlier_life_ended").with("tenure", record.tenure).with("lease", item.lease);
    store_.endLease(item.lease, now() + callTimeout, [](const kv::LeaseResult&) {});
}

Instant OwnerElection::confirmedUntil() const
{
    if (isOwnerKeyAbsent_ || ownerKeyLease_ == 0)
        return Instant {};
    return confirmedAt_ + minLeaseDuration(leaseTtl_);
}

bool OwnerElection::isOwnershipUnconfirmed() const
{
    return bootNow() >= confirmedUntil();
}

Instant OwnerElection::ownershipEndsBy() const
{
    return confirmedAt_ + maxUnconfirmedOwnership_;
}

bool OwnerElection::isStoreUnresponsive() const
{
    return bootNow() - lastStoreAnswer_ > watchWait + watchMargin;
}

void OwnerElection::applyOwnerView(const OwnerView& view)
{
    if (view.revision <= owner_.revision)
        return;
    bool isChanged = view.record.token != owner_.record.token;
    owner_ = view;
    if (!isOutdated(view.revision))
        isOwnerKeyAbsent_ = false;
    if (!isChanged)
        return;
    Line("owner_changed")
        .with("owner", view.record.name)
        .with("tenure", view.record.tenure)
        .with("revision", view.revision);
    if (isOwner_ && view.record.token != self_.token)
        loseOwnership("replaced");
    callbacks_.ownerChanged();
}

void OwnerElection::stepDown(std::string_view reason)
{
    if (isOwner_)
        loseOwnership(reason);
}

void OwnerElection::loseOwnership(std::string_view reason)
{
    isOwner_ = false;
    Line("ownership_lost").with("tenure", tenure_).with("reason", reason);
    callbacks_.ownershipLost(reason);
}

} // namespace agatevane::node
