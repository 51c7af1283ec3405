#pragma once

#include "agatevane/base/id.h"
#include "agatevane/base/instant.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

//! When this process's catalogue was last known to hold every accepted change.
namespace agatevane {

//! An accepted change must be in force everywhere within 10 s; a process without a proof for so long takes no new work.
constexpr Millis freshnessLimit { 10000 };

//! What a peer answered about its catalogue.
struct PeerStatement {
    Instant requestedAt; //!< on this process's clock, before the question was sent
    std::int64_t revision = 0;
    std::optional<Millis> proofAge; //!< age of the peer's own proof when it answered
    bool reachesStore = false;
};

struct Freshness {
    std::optional<Instant> provenAt;
    //! The last statement of each VM since the last proof by the store or through a peer.
    std::map<MemberId, PeerStatement> statements;
    std::set<MemberId> listed; //!< all other VMs, as last noted
    std::set<MemberId> known; //!< all that were listed since the last proof by the store or through a peer
};

//! Notes all other VMs of the VM list and of the membership. To be called whenever they change and before each proof.
void noteVms(Freshness& freshness, const std::vector<MemberId>& vms);

//! (a) The process has applied all changes that a read of the store sent at `sentAt` found.
void proveByStore(Freshness& freshness, Instant sentAt);

//! (b) or the first half of (c): a peer answered, and all its changes have been applied here.
void recordStatement(Freshness& freshness, const MemberId& peer, const PeerStatement& statement);

//! (c) Every listed VM has answered and none reaches the store. Whoever accepted a change knows its revision, so after
//! all have answered and their changes are applied, no change accepted before the first question is missing. A VM that
//! has left the list counts only if its last statement was that it did not reach the store; otherwise it may have taken
//! an accepted change with it. A process that never had another proof cannot use this one: the VMs that it replaced
//! may have known changes that nobody else knows.
//! `ownRevision`: of the applied catalogue.
bool proveWithoutStore(Freshness& freshness, std::int64_t ownRevision);

std::optional<Millis> proofAge(const Freshness& freshness, Instant at);
bool isFresh(const Freshness& freshness, Instant at);

} // namespace agatevane
