#pragma once

#include "agatevane/limits/limits.h"

//! Payloads of MessageKind::BorrowLimit: an entry VM borrows a part of a limit from a peer.
namespace agatevane::limits {

struct BorrowRequest {
    std::string key; //!< key of the limit, such as "callers/alice"
    GrantId id;
    double wanted = 0; //!< requests/s

    template <typename Archive> void serialize(Archive& archive) { archive(key, id, wanted); }
};

struct BorrowReply {
    double granted = 0; //!< requests/s; 0 if the lender has none to spare

    template <typename Archive> void serialize(Archive& archive) { archive(granted); }
};

} // namespace agatevane::limits
