#pragma once

#include "agatevane/base/id.h"
#include "agatevane/base/instant.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

//! Proofs of freshness: the last time at which this process's catalogue is known to have contained every accepted
//! change. There are three rules by which a process can prove it: (a) by the store, (b) by a peer that has a proof, and
//! (c) by the answers of all other VMs while none of them reaches the store.
namespace agatevane {

//! The greatest age of a proof with which a process takes new work. An accepted change must be in force everywhere
//! within 10 s.
constexpr Millis freshnessLimit { 10000 };

//! The answer of a peer about its catalogue.
struct PeerStatement {
    Instant requestedAt; //!< time on this process's clock before the request was sent
    std::int64_t revision = 0; //!< highest revision that the peer knows
    std::optional<Millis> proofAge; //!< age of the peer's own proof when it answered
    bool reachesStore = false;
};

struct Freshness {
    std::optional<Instant> provenAt; //!< time of the newest proof
    //! The last statement of each VM since the last proof by the store or by a peer that reaches the store.
    std::map<MemberId, PeerStatement> statements;
    std::set<MemberId> listedVms; //!< all other VMs, from the last call of setListedVms()
    std::set<MemberId> knownVms; //!< all VMs that were listed since `statements` was last cleared
};

//! Sets all other VMs of the VM list and of the membership. Must be called whenever they change and before each proof.
void setListedVms(Freshness& freshness, const std::vector<MemberId>& vms);

//! Rule (a): the process has applied all changes found by a read of the store that was sent at `sentAt`.
void proveByStore(Freshness& freshness, Instant sentAt);

//! Rule (b), or the first step of rule (c): a peer has answered, and this process has applied all changes of the peer.
void recordStatement(Freshness& freshness, const MemberId& peer, const PeerStatement& statement);

//! Rule (c): every listed VM has answered and none reaches the store. The VM that accepted a change knows its revision,
//! so once all VMs have answered and their changes are applied, no change accepted before the first request is missing.
//! A VM that has left the list must have stated last that it did not reach the store. Otherwise it may have accepted a
//! change that no other VM knows, and there is no proof. A process without an earlier proof cannot use this rule, since
//! the VMs that it replaced may have known changes that no other VM knows.
//! `ownRevision` is the highest revision of the applied catalogue. Returns whether the rule gave a proof.
bool proveWithoutStore(Freshness& freshness, std::int64_t ownRevision);

//! The age of the newest proof at the time `at`; no value if there is no proof.
std::optional<Millis> proofAge(const Freshness& freshness, Instant at);
bool isFresh(const Freshness& freshness, Instant at);

} // namespace agatevane
