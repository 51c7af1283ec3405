#pragma once

#include "agatevane/base/id.h"
#include "agatevane/base/instant.h"
#include "agatevane/base/random.h"
#include <map>
#include <optional>
#include <string>
#include <tuple>

//! One entry VM's part of a limit in requests/s that applies to all entry VMs together, without a coordinator.
//!
//! Each VM has a base share, limit / n. A VM that needs more borrows from peers. The borrower counts the duration of a
//! grant from the instant before it sent the request, the lender from the instant it received the request and with an
//! allowance for clock drift. The lender therefore always gives up the rate for longer than the borrower uses it,
//! whether messages are lost, late or duplicated.
namespace agatevane::limits {

constexpr Millis grantTerm { 5000 }; //!< how long a borrower may use a grant
//! How long a lender gives up a granted rate. Longer than `grantTerm`, because the clocks of two VMs may drift apart,
//! by less than 1 %.
constexpr Millis lendTerm { 5050 };
//! Maximum part of its base share that a VM lends. A restarted process has lost its record of what it lent, so it uses
//! only the rest for one `lendTerm` after its start.
constexpr double maxLentShare = 0.75;
//! Capacity of a VM's token bucket, as the time in which its rate fills the bucket. A VM may have lent its rate just
//! after it filled its bucket; the total over an interval is therefore at most limit * (interval + burst).
constexpr Millis burst { 1000 };

//! A rate that is lent or borrowed until a deadline.
struct Grant {
    double rate = 0; //!< requests/s
    Instant until;
};

//! Identifies a request for a grant. `number` is unique within the process; `member` includes the incarnation of the
//! process.
struct GrantId {
    std::string member;
    std::uint64_t number = 0;

    bool operator<(const GrantId& other) const
    {
        return std::tie(member, number) < std::tie(other.member, other.number);
    }
    template <typename Archive> void serialize(Archive& archive) { archive(member, number); }
};

//! State of one limit at this VM.
struct Limit {
    double limit = 0; //!< requests/s over all entry VMs
    int members = 1; //!< entry VMs in the VM list
    Instant startedAt; //!< start of the process
    std::map<GrantId, Grant> lent; //!< keyed by the borrower's request, so that a duplicate request lends only once
    std::map<GrantId, Grant> borrowed;
    std::map<GrantId, Instant> unanswered; //!< borrow requests without an answer, with the instant before each was sent
    double tokens = 0; //!< requests that may be admitted now
    Instant refilledAt;
    double demand = 0; //!< recent requests/s, admitted or not; exponentially weighted
    Instant demandUpdatedAt;
};

Limit makeLimit(double limit, int members, Instant now);

//! Applies a new limit or VM list. Grants stay as they are until their deadlines.
void update(Limit& state, double limit, int members, Instant now);

//! The rate in requests/s that this VM may admit now: its base share, less the lent rates, plus the borrowed ones. For
//! one `lendTerm` after the start of the process, the base share counts without the part that may have been lent.
double rateOf(const Limit& state, Instant now);

//! Takes a token. Returns false if none is available because the limit is reached.
bool tryAdmit(Limit& state, Instant now);

//! Puts back the token of a request that was not admitted for another reason.
void returnToken(Limit& state);

//! Time until the next token is available, from 1 ms to 60 s.
Millis timeUntilToken(const Limit& state, Instant now);

//! The rate to request from a peer; zero if the VM has enough, or if a recent borrow request may still be answered.
double rateToBorrow(const Limit& state, Instant now);

//! Registers a borrow request. To be called before the request is sent.
void registerBorrowRequest(Limit& state, const GrantId& id, Instant now);

//! Handles a borrow request at the lender. Returns the granted rate, at most `wanted`; zero if the lender has none to
//! spare.
double onBorrowRequest(Limit& state, const GrantId& id, double wanted, Instant now);

//! Handles an answer at the borrower. Unknown, duplicate and late answers change nothing.
void onBorrowReply(Limit& state, const GrantId& id, double granted, Instant now);

//! Removes expired grants and borrow requests, and refills the bucket. The functions above that change the state call
//! it.
void expire(Limit& state, Instant now);

} // namespace agatevane::limits
