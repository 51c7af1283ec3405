#pragma once

#include "agatevane/base/instant.h"
#include <cstddef>
#include <functional>

//! Transfers whose size is not known in advance. They have no limit on the whole, since a transfer that is given up
//! while it arrives has to begin anew. They end when nothing arrives any more.
namespace agatevane {

//! A transfer that has begun ends once less than `minProgressBytes` have arrived for this long.
constexpr Millis maxStall { 1000 };
constexpr std::size_t minProgressBytes = 4096;

//! How much of an answer has arrived.
struct TransferProgress {
    std::size_t receivedBytes = 0; //!< with headers
    std::size_t expectedBytes = 0; //!< length of the body, once it is known; otherwise 0
};

//! Limits of one transfer.
struct TransferLimits {
    Instant beginBy; //!< the answer has to begin by then
    std::function<void(const TransferProgress&)> progressed; //!< called each time that bytes arrive; may be empty
    std::size_t maxBytes = 0; //!< a longer body ends the transfer with `TooLarge`; 0: the receiver's own limit
};

//! When a transfer ends unless more arrives.
class StallGuard {
public:
    explicit StallGuard(Instant beginBy)
        : endsAt_(beginBy)
    {
    }

    //! `receivedBytes` is the total so far.
    void note(std::size_t receivedBytes, Instant at)
    {
        if (receivedBytes < nextMark_)
            return;
        nextMark_ = receivedBytes + minProgressBytes;
        endsAt_ = at + maxStall;
    }
    Instant endsAt() const { return endsAt_; }

private:
    Instant endsAt_;
    std::size_t nextMark_ = 1; //!< progress counts once this many bytes have arrived
};

} // namespace agatevane
