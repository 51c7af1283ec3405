#pragma once

#include "agatevane/base/id.h"
#include "agatevane/base/instant.h"
#include "agatevane/base/random.h"
#include <map>
#include <optional>
#include <string>
#include <tuple>

//! One entry VM's part of a limit in requests/s that holds over all entry VMs together, without a coordinator.
//!
//! Each VM has a base share, limit / n. A VM that runs short borrows from peers. The borrower counts a grant from the
//! instant before it asked, the lender from the instant it received the request and with allowance for clock drift, so
//! the lender always gives the rate up for longer than the borrower uses it, whatever is lost, late or doubled.
namespace agatevane::limits {

constexpr Millis grantTerm { 5000 };
//! Clocks run apart by less than 1 %.
constexpr Millis lendTerm { 5050 };
//! A process that restarted has forgotten what it lent. It may have lent this part of its share at most, and keeps to
//! the rest for one term after its start.
constexpr double maxLentShare = 0.75;
//! The bucket of a share holds what the share yields in this time. A VM may have lent its rate just after it filled
//! its bucket; the total over an interval is therefore at most limit * (interval + burst).
constexpr Millis burst { 1000 };

struct Grant {
    double rate = 0; //!< requests/s
    Instant until;
};

//! Identifies a request for a grant. `number` is unique in the life of the process; `member` carries its incarnation.
struct GrantId {
    std::string member;
    std::uint64_t number = 0;

    bool operator<(const GrantId& other) const
    {
        return std::tie(member, number) < std::tie(other.member, other.number);
    }
    template <typename Archive> void serialize(Archive& archive) { archive(member, number); }
};

struct Limit {
    double limit = 0; //!< requests/s over all entry VMs
    int members = 1; //!< entry VMs in the VM list
    Instant startedAt; //!< of the process
    std::map<GrantId, Grant> lent; //!< by the borrower's request, so that a doubled request lends once
    std::map<GrantId, Grant> borrowed;
    std::map<GrantId, Instant> asked; //!< requests without an answer, with the instant before they were sent
    double tokens = 0;
    Instant refilled;
    double demand = 0; //!< requests/s of late, admitted or not; exponentially weighted
    Instant demandUpdated;
};

Limit makeLimit(double limit, int members, Instant now);

//! A new limit or VM list. Grants stay as they are until their deadlines.
void update(Limit& state, double limit, int members, Instant now);

//! The rate that this VM may admit now: base share, less what is lent, plus what is borrowed.
double rateOf(const Limit& state, Instant now);

//! Takes a token; false if the limit is reached.
bool tryAdmit(Limit& state, Instant now);

//! Returns the token of a request that was not admitted for another reason.
void returnToken(Limit& state);

//! When the next token is due; at least 1 ms.
Millis timeUntilToken(const Limit& state, Instant now);

//! The rate worth asking peers for; zero if the VM has enough, or asked a moment ago.
double rateToBorrow(const Limit& state, Instant now);

//! To be called before a request for a grant is sent.
void registerBorrowRequest(Limit& state, const GrantId& id, Instant now);

//! At the lender: the rate granted, at most `wanted`; zero if nothing can be spared.
double onBorrowRequest(Limit& state, const GrantId& id, double wanted, Instant now);

//! At the borrower: an answer. Unknown, doubled and late ones change nothing.
void onBorrowReply(Limit& state, const GrantId& id, double granted, Instant now);

//! Drops what is over. Called by the functions above.
void expire(Limit& state, Instant now);

} // namespace agatevane::limits
