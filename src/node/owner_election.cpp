#include "node/owner_election.h"

#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"

namespace agatevane::node {

namespace {

    using event_log::Line;

    constexpr Millis tickInterval { 100 };
    //! Long enough that a slow store does not end the lease, short enough that a dead owner is replaced in seconds.
    constexpr Millis wantedTtl { 1500 };
    constexpr Millis callTimeout { 1000 };
    //! Shorter than the rest of the lease, so that a lost answer leaves time for another renewal.
    constexpr Millis renewTimeout { 500 };
    constexpr Millis retryPause { 200 };
    constexpr Millis watchWait { 3000 };
    //! Beyond the wait, for a slow store; then the watch counts as silent and is sent again.
    constexpr Millis watchMargin { 800 };
    //! Candidates spread their tries over this time; the owner whose lease has lapsed tries at once.
    constexpr std::int64_t campaignSpreadMs = 150;
    //! Without a confirmation for this long an owner gives up: the leases of what it runs can't be prolonged for ever
    //! by one that may have been replaced. Later owners wait this long for workers that they can't reach.
    constexpr Millis longestUnconfirmed { 8000 };

} // namespace

Seat::Seat(asio::io_context& context, kv::Store& store, const OwnerRecord& self, Millis leastLease, Millis handicap,
    Callbacks callbacks)
    : store_(store)
    , self_(self)
    , ttl_(std::max(wantedTtl, leastLease))
    , handicap_(handicap)
    , callbacks_(std::move(callbacks))
    , tickTimer_(context)
    , watchTimer_(context)
{
}

void Seat::start()
{
    tick();
    readOwner();
}

void Seat::resign()
{
    isResigned_ = true;
    if (isSeated_)
        loseSeat("resigned");
    if (lease_ != 0)
        store_.endLease(lease_, now() + callTimeout, [](const kv::LeaseResult&) {});
    lease_ = 0;
}

void Seat::noteAnswer(std::error_code error)
{
    if (error == Errc::Timeout || error == Errc::Disconnected || error == Errc::Unreachable || error == Errc::Refused)
        return;
    lastStoreAnswer_ = bootNow();
}

void Seat::tick()
{
    tickTimer_.arm(tickInterval, [this] { tick(); });
    if (isResigned_)
        return;
    auto at = bootNow();
    if (isSeated_ && at - confirmedAt_ > longestUnconfirmed)
        loseSeat("not_confirmed_by_store");
    // Only the owner and those who want to become it need a lease; each renewal is a paid call.
    bool needsLease = isSeated_ || (isOwnerKnownAbsent_ && at >= campaignAt_);
    if (needsLease && !isLeaseCallInFlight_ && at >= nextRenewal_) {
        if (lease_ == 0)
            grant();
        else
            renew();
    }
    tryForSeat();
}

void Seat::tryForSeat()
{
    if (!isOwnerKnownAbsent_ || lease_ == 0 || isCampaigning_ || bootNow() < campaignAt_)
        return;
    if (isSeated_)
        putBack();
    else
        campaign();
}

void Seat::grant()
{
    isLeaseCallInFlight_ = true;
    store_.grantLease(ttl_, now() + callTimeout, liveness_.guard([this](const kv::LeaseResult& result) {
        isLeaseCallInFlight_ = false;
        noteAnswer(result.error);
        nextRenewal_ = bootNow() + (result.error ? retryPause : ttl_ / 4);
        if (result.error)
            return;
        lease_ = result.lease;
        tryForSeat();
    }));
}

void Seat::renew()
{
    isLeaseCallInFlight_ = true;
    auto sentAt = bootNow();
    store_.renewLease(lease_, now() + renewTimeout, liveness_.guard([this, sentAt](const kv::LeaseResult& result) {
        isLeaseCallInFlight_ = false;
        if (result.hasEnded && !isSeated_) {
            lease_ = 0;
            return;
        }
        if (result.hasEnded) {
            Line("lease_lost").with("lease", lease_).with("seated", isSeated_);
            lease_ = 0;
            lastStoreAnswer_ = bootNow();
            nextRenewal_ = bootNow();
            if (isSeated_)
                readOwner();
            return;
        }
        noteAnswer(result.error);
        nextRenewal_ = bootNow() + (result.error ? retryPause : ttl_ / 4);
        // The key goes with the lease, so a renewed lease confirms the ownership.
        if (!result.error && isSeated_ && owner_.record.token == self_.token)
            confirmedAt_ = sentAt;
    }));
}

void Seat::readOwner()
{
    // Ends the watch that may be waiting.
    auto reading = ++watchGeneration_;
    store_.get(ownerKey, now() + callTimeout, liveness_.guard([this, reading](const kv::ReadResult& result) {
        noteAnswer(result.error);
        if (reading != watchGeneration_)
            return;
        if (result.error) {
            watchTimer_.arm(retryPause, [this] { readOwner(); });
            return;
        }
        if (!result.items.empty()) {
            applyOwnerItem(&result.items.front(), result.asOf);
            return watch();
        }
        // A missing key has no revision to watch from; a listing says how far it has read.
        store_.list(ownerKey, now() + callTimeout, liveness_.guard([this, reading](const kv::ReadResult& listed) {
            noteAnswer(listed.error);
            if (reading != watchGeneration_)
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

void Seat::watch()
{
    auto deadline = now() + watchWait + watchMargin;
    store_.watch(ownerKey, watchedTo_, watchWait, deadline,
        liveness_.guard([this, watching = watchGeneration_](const kv::WatchResult& result) {
            noteAnswer(result.error);
            if (watching != watchGeneration_)
                return;
            if (result.error) {
                // History may be gone, and a silent watch may have missed something: read again.
                watchTimer_.arm(result.isHistoryCompacted ? Millis(0) : retryPause, [this] { readOwner(); });
                return;
            }
            watchedTo_ = std::max(watchedTo_, result.asOf);
            for (const auto& change : result.changes)
                applyOwnerItem(change.isRemoval ? nullptr : &change.item, change.item.revision);
            watch();
        }));
}

void Seat::applyOwnerItem(const kv::Item* item, kv::Revision asOf)
{
    watchedTo_ = std::max(watchedTo_, asOf);
    if (!item) {
        if (asOf < owner_.revision || isOwnerKnownAbsent_)
            return;
        isOwnerKnownAbsent_ = true;
        auto delay = isSeated_ ? Millis(0) : handicap_ + Millis(uniform(random_, 0, campaignSpreadMs));
        campaignAt_ = bootNow() + delay;
        nextRenewal_ = campaignAt_;
        Line("owner_absent").with("revision", asOf).with("last_owner", owner_.record.name);
        return;
    }
    auto record = decodeRecord<OwnerRecord>(item->value);
    if (!record) {
        Line("record_unreadable").with("key", ownerKey).with("revision", item->revision);
        return;
    }
    if (item->revision > owner_.revision)
        isOwnerKnownAbsent_ = false;
    endEarlierLife(*item, *record);
    learn({ item->revision, *record });
}

//! This machine's process was the owner and has started anew: nobody has to wait until its lease has passed.
void Seat::endEarlierLife(const kv::Item& item, const OwnerRecord& record)
{
    if (record.name != self_.name || record.token == self_.token || isSeated_ || item.lease == 0)
        return;
    Line("earlier_life_ended").with("tenure", record.tenure).with("lease", item.lease);
    store_.endLease(item.lease, now() + callTimeout, [](const kv::LeaseResult&) {});
}

bool Seat::isUnconfirmed() const
{
    return bootNow() - confirmedAt_ > ttl_;
}

bool Seat::isStoreSilent() const
{
    return bootNow() - lastStoreAnswer_ > watchWait + watchMargin;
}

void Seat::learn(const OwnerView& view)
{
    if (view.revision <= owner_.revision)
        return;
    bool isChanged = view.record.token != owner_.record.token;
    owner_ = view;
    isOwnerKnownAbsent_ = false;
    if (!isChanged)
        return;
    Line("owner_changed")
        .with("owner", view.record.name)
        .with("tenure", view.record.tenure)
        .with("revision", view.revision);
    if (isSeated_ && view.record.token != self_.token)
        loseSeat("replaced");
    callbacks_.ownerChanged();
}

void Seat::depose(std::string_view reason)
{
    if (isSeated_)
        loseSeat(reason);
}

void Seat::loseSeat(std::string_view reason)
{
    isSeated_ = false;
    Line("ownership_lost").with("tenure", tenure_).with("reason", reason);
    callbacks_.lost(reason);
}

void Seat::campaign()
{
    isCampaigning_ = true;
    store_.get(commitKey, now() + callTimeout, liveness_.guard([this](const kv::ReadResult& result) {
        noteAnswer(result.error);
        if (result.error || lease_ == 0 || isResigned_) {
            isCampaigning_ = false;
            campaignAt_ = bootNow() + retryPause;
            return;
        }
        CommitRecord last;
        kv::Revision revision = 0;
        if (!result.items.empty()) {
            revision = result.items.front().revision;
            if (auto record = decodeRecord<CommitRecord>(result.items.front().value))
                last = *record;
            else
                Line("record_unreadable").with("key", commitKey).with("revision", revision);
        }
        auto token = randomToken(random_);
        self_.tenure = last.tenure + 1;
        self_.token = token;
        kv::Txn txn;
        txn.conditions = { { ownerKey, 0 }, { commitKey, revision } };
        txn.puts = { { ownerKey, net::encode(self_), lease_ },
            { commitKey, net::encode(CommitRecord { self_.tenure, token }) } };
        sendCampaign(txn, self_.tenure, token);
    }));
}

void Seat::sendCampaign(const kv::Txn& txn, std::uint32_t tenure, const std::string& token)
{
    auto sentAt = bootNow();
    store_.commit(
        txn, now() + callTimeout, liveness_.guard([this, txn, tenure, token, sentAt](const kv::TxnResult& result) {
            noteAnswer(result.error);
            if (!result.error || result.error == Errc::Conflict)
                confirmedAt_ = sentAt;
            resolveCampaign(txn, tenure, token, result);
        }));
}

void Seat::resolveCampaign(const kv::Txn& txn, std::uint32_t tenure, const std::string& token, kv::TxnResult result)
{
    kv::Revision commitRevision = result.revision;
    bool hasWon = !result.error;
    if (result.error == Errc::Conflict) {
        // An earlier try of this very transaction may have been applied without an answer.
        for (const auto& item : result.current) {
            auto record = item.key == commitKey ? decodeRecord<CommitRecord>(item.value) : std::nullopt;
            if (record && record->token == token) {
                hasWon = true;
                commitRevision = item.revision;
            }
        }
    } else if (result.error == Errc::Timeout || result.error == Errc::Disconnected || result.error == Errc::Malformed) {
        if (lease_ != 0 && !isResigned_)
            return sendCampaign(txn, tenure, token);
    }
    isCampaigning_ = false;
    campaignAt_ = bootNow() + retryPause;
    if (result.hasLeaseEnded)
        lease_ = 0;
    if (!hasWon || isResigned_)
        return;
    tenure_ = tenure;
    isSeated_ = true;
    isOwnerKnownAbsent_ = false;
    owner_ = { commitRevision, self_ };
    Line("ownership_gained").with("tenure", tenure).with("revision", commitRevision);
    callbacks_.seated(tenure, commitRevision);
    callbacks_.ownerChanged();
}

//! The lease lapsed, but no other node has become the owner: the key is written again under a new lease. The commit key
//! shows that nobody else was the owner in between.
void Seat::putBack()
{
    isCampaigning_ = true;
    kv::Txn txn;
    txn.conditions = { { ownerKey, 0 }, { commitKey, callbacks_.commitRevision() } };
    txn.puts = { { ownerKey, net::encode(self_), lease_ } };
    auto sentAt = bootNow();
    store_.commit(txn, now() + callTimeout, liveness_.guard([this, sentAt](const kv::TxnResult& result) {
        noteAnswer(result.error);
        isCampaigning_ = false;
        campaignAt_ = bootNow() + retryPause;
        if (result.hasLeaseEnded)
            lease_ = 0;
        if (!isSeated_)
            return;
        if (!result.error) {
            confirmedAt_ = sentAt;
            isOwnerKnownAbsent_ = false;
            owner_ = { result.revision, self_ };
            Line("owner_key_restored").with("tenure", tenure_).with("revision", result.revision);
        } else if (result.error == Errc::Conflict) {
            readOwner();
        }
    }));
}

} // namespace agatevane::node
