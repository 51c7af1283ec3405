#pragma once

#include "agatevane/limits/limits.h"

//! Payloads of MessageKind::BorrowLimit.
namespace agatevane::limits {

struct BorrowRequest {
    std::string key; //!< names the limit, such as "callers/alice"
    GrantId id;
    double wanted = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(key, id, wanted); }
};

struct BorrowReply {
    double granted = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(granted); }
};

} // namespace agatevane::limits
