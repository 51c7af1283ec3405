//! The part of OwnerElection that claims the owner key: campaigns, and the restoring of a key that was lost.
#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include "node/owner_election.h"
#include "node/unreadable_records.h"
#include <algorithm>

namespace agatevane::node {

namespace {

    using event_log::Line;

    //! Until an operator has restored the records, no attempt can succeed.
    constexpr Millis uncertainTenurePause { 5000 };

    //! The revision of a campaign that failed with a conflict because an earlier attempt had been applied, although its
    //! answer was lost. Nothing if another node has campaigned since, or the owner key has been removed again.
    std::optional<kv::Revision> revisionOfEarlierAttempt(const kv::TxnResult& result, const std::string& token)
    {
        bool holdsOwnerKey = false;
        std::optional<kv::Revision> revision;
        for (const auto& item : result.current) {
            if (item.key == ownerKey) {
                auto record = decodeRecord<OwnerRecord>(item.value);
                holdsOwnerKey = record && record->token == token;
            } else if (item.key == commitKey) {
                auto record = decodeRecord<CommitRecord>(item.value);
                if (record && record->token == token)
                    revision = item.revision;
            }
        }
        return holdsOwnerKey ? revision : std::nullopt;
    }

} // namespace

void OwnerElection::startCampaign()
{
    isClaimInProgress_ = true;
    store_.get(commitKey, { now() + callTimeout, {} }, liveness_.guard([this](const kv::ReadResult& result) {
        noteStoreAnswer(result.error);
        if (result.error)
            return abandonCampaign(retryPause);
        if (result.items.empty())
            return readTenure(0);
        const auto& item = result.items.front();
        if (auto record = decodeRecord<CommitRecord>(item.value))
            return beginCampaign(record->tenure, item.revision);
        reportUnreadableRecord(item);
        readTenure(item.revision);
    }));
}

//! Takes the last tenure from its copy. Without a certain tenure there is no campaign: a lower fencing token than that
//! of an earlier owner would be worse than no owner.
void OwnerElection::readTenure(kv::Revision commitRevision)
{
    store_.get(
        tenureKey, { now() + callTimeout, {} }, liveness_.guard([this, commitRevision](const kv::ReadResult& result) {
            noteStoreAnswer(result.error);
            if (result.error)
                return abandonCampaign(retryPause);
            if (result.items.empty()) {
                if (commitRevision != 0)
                    return abandonCampaign(uncertainTenurePause);
                return beginCampaign(0, commitRevision);
            }
            const auto& item = result.items.front();
            if (auto record = decodeRecord<TenureRecord>(item.value))
                return beginCampaign(record->tenure, commitRevision);
            reportUnreadableRecord(item);
            abandonCampaign(uncertainTenurePause);
        }));
}

void OwnerElection::abandonCampaign(Millis pause)
{
    isClaimInProgress_ = false;
    nextCampaignAt_ = bootNow() + pause;
}

void OwnerElection::beginCampaign(std::uint32_t lastTenure, kv::Revision commitRevision)
{
    if (lease_ == 0 || isResigned_)
        return abandonCampaign(retryPause);
    self_.tenure = std::max(lastTenure, owner_.record.tenure) + 1;
    self_.token = randomToken(random_);
    Campaign campaign { {}, self_.tenure, self_.token, lease_, leaseRenewedAt_ };
    campaign.txn.conditions = { { ownerKey, damagedOwnerRevision_ }, { commitKey, commitRevision } };
    campaign.txn.puts = { { ownerKey, net::encode(self_), lease_ },
        { commitKey, net::encode(CommitRecord { self_.tenure, self_.token }) },
        { tenureKey, net::encode(TenureRecord { self_.tenure }) } };
    commitCampaign(campaign);
}

void OwnerElection::commitCampaign(const Campaign& campaign)
{
    store_.commit(campaign.txn, now() + callTimeout, liveness_.guard([this, campaign](const kv::TxnResult& result) {
        noteStoreAnswer(result.error);
        handleCampaignResult(campaign, result);
    }));
}

void OwnerElection::handleCampaignResult(const Campaign& campaign, const kv::TxnResult& result)
{
    if ((isOutcomeUnknown(result.error) || result.error == Errc::Malformed) && lease_ != 0 && !isResigned_)
        return commitCampaign(campaign);
    isClaimInProgress_ = false;
    nextCampaignAt_ = bootNow() + retryPause;
    noteLeaseEnd(campaign.lease, result);
    if (isResigned_)
        return;
    auto revision = result.error ? revisionOfEarlierAttempt(result, campaign.token) : result.revision;
    // The answer may be so late that the key has been removed again.
    if (revision && !isOutdated(*revision))
        beginOwnership(campaign, *revision);
}

//! The answer may be so late that the node has a later lease.
void OwnerElection::noteLeaseEnd(kv::LeaseId lease, const kv::TxnResult& result)
{
    if (result.hasLeaseEnded && lease == lease_)
        lease_ = 0;
}

void OwnerElection::beginOwnership(const Campaign& campaign, kv::Revision commitRevision)
{
    tenure_ = campaign.tenure;
    isOwner_ = true;
    isOwnerKeyAbsent_ = false;
    ownerKeyLease_ = campaign.lease;
    confirmedAt_ = lease_ == ownerKeyLease_ ? leaseRenewedAt_ : campaign.leaseRenewedAt;
    owner_ = { commitRevision, self_ };
    Line("ownership_gained").with("tenure", tenure_).with("revision", commitRevision);
    callbacks_.elected(tenure_, commitRevision);
    callbacks_.ownerChanged();
}

//! The lease has expired, but no other node has become the owner: the owner key is written again under a new lease. The
//! condition on the commit key proves that there was no other owner in between.
void OwnerElection::restoreOwnerKey()
{
    isClaimInProgress_ = true;
    kv::Txn txn;
    txn.conditions = { { ownerKey, damagedOwnerRevision_ }, { commitKey, callbacks_.commitRevision() } };
    txn.puts = { { ownerKey, net::encode(self_), lease_ } };
    store_.commit(txn, now() + callTimeout, liveness_.guard([this, lease = lease_](const kv::TxnResult& result) {
        noteStoreAnswer(result.error);
        isClaimInProgress_ = false;
        nextCampaignAt_ = bootNow() + retryPause;
        noteLeaseEnd(lease, result);
        if (!isOwner_)
            return;
        bool isRestored = !result.error && lease == lease_ && !isOutdated(result.revision);
        if (isRestored) {
            ownerKeyLease_ = lease;
            confirmedAt_ = leaseRenewedAt_;
            isOwnerKeyAbsent_ = false;
            owner_ = { result.revision, self_ };
            Line("owner_key_restored").with("tenure", tenure_).with("revision", result.revision);
        } else if (!result.error || result.error == Errc::Conflict) {
            readOwner();
        }
    }));
}

} // namespace agatevane::node
