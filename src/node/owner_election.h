#pragma once

#include "agatevane/base/random.h"
#include "agatevane/kv/kv.h"
#include "node/records.h"
#include "node/response_times.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <functional>

namespace agatevane::node {

//! Election of the owner of the fleet. The owner is the node whose record is at the owner key in the store, under a
//! lease that it keeps renewing.
class OwnerElection {
public:
    struct Callbacks {
        std::function<void(std::uint32_t tenure, kv::Revision commitRevision)> elected;
        std::function<void(std::string_view reason)> ownershipLost;
        std::function<void()> ownerChanged;
        //! Returns the revision of the commit key on which this owner's next write is conditional.
        std::function<kv::Revision()> commitRevision;
    };

    //! The node waits `candidacyDelay` before each attempt to become the owner, so that better suited nodes win. As the
    //! owner, it steps down if the store has not confirmed its ownership for `maxUnconfirmedOwnership`: it may have
    //! been replaced. No lease that it gives ends later, so that a later owner knows how long to wait for workers that
    //! it can't reach.
    OwnerElection(asio::io_context& context, kv::Store& store, const OwnerRecord& self, Millis minLeaseTtl,
        Millis candidacyDelay, Millis maxUnconfirmedOwnership, Callbacks callbacks);

    void start();
    //! Lowers the bound that the constructor was given, if `bound` is lower. It is never raised again: other nodes may
    //! still know the earlier settings.
    void limitUnconfirmedOwnership(Millis bound);
    //! Gives up the ownership so that another node can take over at once, and never becomes a candidate again.
    void resign();
    //! Applies the owner record that the store or another node has returned, if it is newer than the known one.
    void applyOwnerView(const OwnerView& view);
    //! Ends the ownership, if this node has it, because a worker or the store has rejected this owner as outdated.
    void stepDown(std::string_view reason);

    const OwnerView& owner() const { return owner_; }
    bool isOwner() const { return isOwner_; }
    //! Time at which the last call that confirmed the ownership was sent, which is earlier than the answer.
    Instant confirmedAt() const { return confirmedAt_; }
    //! Time at which this node steps down unless the store confirms the ownership again.
    Instant ownershipEndsBy() const;
    //! Until then no other node can have become the owner: the store has confirmed the lease that holds the owner key.
    //! Instant {}: the owner key is known to be gone, or its lease is not known.
    Instant confirmedUntil() const;
    //! True if another node may be the owner without this one knowing it.
    bool isOwnershipUnconfirmed() const;
    //! True if the store has answered nothing for longer than a watch takes.
    bool isStoreUnresponsive() const;

private:
    //! An attempt to become the owner.
    struct Campaign {
        kv::Txn txn;
        std::uint32_t tenure = 0;
        std::string token;
        kv::LeaseId lease = 0; //!< holds the owner key if the transaction is applied
        Instant leaseRenewedAt; //!< when the last renewal of the lease before the transaction was sent
    };

    static constexpr Millis callTimeout { 1000 };
    static constexpr Millis retryPause { 200 };

    //! True if a call that ended with `error` may have been carried out.
    static bool isOutcomeUnknown(std::error_code error);

    void tick();
    void claimOwnerKey();
    void requestLease();
    void sendRenewal();
    void watch();
    void readOwner();
    void noteOwnerAbsent(kv::Revision asOf);
    //! True if a later state of the owner key is known than that at `revision`.
    bool isOutdated(kv::Revision revision) const;
    void applyOwnerItem(const kv::Item* item, kv::Revision asOf);
    void endLeaseOfPreviousProcess(const kv::Item& item, const OwnerRecord& record);
    void startCampaign();
    void readTenure(kv::Revision commitRevision);
    void beginCampaign(std::uint32_t lastTenure, kv::Revision commitRevision);
    void abandonCampaign(Millis pause);
    void commitCampaign(const Campaign& campaign);
    void handleCampaignResult(const Campaign& campaign, const kv::TxnResult& result);
    void beginOwnership(const Campaign& campaign, kv::Revision commitRevision);
    void restoreOwnerKey();
    void noteLeaseEnd(kv::LeaseId lease, const kv::TxnResult& result);
    void noteStoreAnswer(std::error_code error);
    void loseOwnership(std::string_view reason);

    kv::Store& store_;
    OwnerRecord self_;
    Millis ttl_; //!< requested duration of leases
    Millis leaseTtl_; //!< duration of the last lease that the store has granted
    Millis candidacyDelay_;
    Millis maxUnconfirmedOwnership_;
    Callbacks callbacks_;
    Random random_ = makeRandom();
    Timer tickTimer_;
    Timer watchTimer_;
    Liveness liveness_;

    kv::LeaseId lease_ = 0;
    kv::LeaseId ownerKeyLease_ = 0; //!< the lease that holds this owner's key; 0: the key may have been removed
    ResponseTimes renewalTimes_; //!< of renewals of `lease_`
    Instant leaseRenewedAt_; //!< when the call was sent that last renewed `lease_`
    bool isLeaseCallInFlight_ = false;
    bool isClaimInProgress_ = false;
    bool isResigned_ = false;
    bool isOwner_ = false;
    bool isOwnerKeyAbsent_ = false;
    kv::Revision ownerAbsentAsOf_ = 0; //!< last revision as of which the owner key was absent
    kv::Revision damagedOwnerRevision_ = 0; //!< revision of an unreadable owner key without a lease; 0: there is none
    Instant nextCampaignAt_;
    Instant nextRenewal_;
    Instant confirmedAt_;
    Instant lastStoreAnswer_;
    std::uint32_t tenure_ = 0;
    OwnerView owner_;
    kv::Revision watchedRevision_ = 0;
    std::uint64_t watchGeneration_ = 0; //!< raised with each read of the key; answers to earlier watches are ignored
};

} // namespace agatevane::node
