#pragma once

#include "agatevane/base/random.h"
#include "agatevane/kv/kv.h"
#include "node/records.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <functional>

namespace agatevane::node {

//! Competes for the ownership of the fleet: one key in the store, held under a lease.
class Seat {
public:
    struct Callbacks {
        std::function<void(std::uint32_t tenure, kv::Revision commitRevision)> seated;
        std::function<void(std::string_view reason)> lost;
        std::function<void()> ownerChanged;
        //! The revision of the commit key that this owner's next write names.
        std::function<kv::Revision()> commitRevision;
    };

    //! `handicap` is waited before each try, so that better suited nodes win.
    Seat(asio::io_context& context, kv::Store& store, const OwnerRecord& self, Millis leastLease, Millis handicap,
        Callbacks callbacks);

    void start();
    //! Gives the ownership up so that another node takes it at once, and does not compete again.
    void resign();
    //! Takes note of an owner that another node has seen.
    void learn(const OwnerView& view);
    //! A worker or the store has refused this owner as outdated.
    void depose(std::string_view reason);

    const OwnerView& owner() const { return owner_; }
    bool isSeated() const { return isSeated_; }
    //! When the store last confirmed the lease, measured from before the renewal was sent.
    Instant confirmedAt() const { return confirmedAt_; }
    //! True for an owner that the store has not confirmed lately: it may have been replaced without knowing.
    bool isUnconfirmed() const;
    //! True if the store has left the watch, which it answers regularly, unanswered.
    bool isStoreSilent() const;

private:
    void tick();
    void tryForSeat();
    void grant();
    void renew();
    void watch();
    void readOwner();
    void applyOwnerItem(const kv::Item* item, kv::Revision asOf);
    void endEarlierLife(const kv::Item& item, const OwnerRecord& record);
    void campaign();
    void sendCampaign(const kv::Txn& txn, std::uint32_t tenure, const std::string& token);
    void resolveCampaign(const kv::Txn& txn, std::uint32_t tenure, const std::string& token, kv::TxnResult result);
    void putBack();
    void noteAnswer(std::error_code error);
    void loseSeat(std::string_view reason);

    kv::Store& store_;
    OwnerRecord self_;
    Millis ttl_;
    Millis handicap_;
    Callbacks callbacks_;
    Random random_ = makeRandom();
    Timer tickTimer_;
    Timer watchTimer_;
    Liveness liveness_;

    kv::LeaseId lease_ = 0;
    bool isLeaseCallInFlight_ = false;
    bool isCampaigning_ = false;
    bool isResigned_ = false;
    bool isSeated_ = false;
    bool isOwnerKnownAbsent_ = false;
    Instant campaignAt_;
    Instant nextRenewal_;
    Instant confirmedAt_;
    Instant lastStoreAnswer_;
    std::uint32_t tenure_ = 0;
    OwnerView owner_;
    kv::Revision watchedTo_ = 0;
    std::uint64_t watchGeneration_ = 0; //!< answers to an earlier reading are ignored
};

} // namespace agatevane::node
