#pragma once

#include "agatevane/base/instant.h"
#include <cstddef>
#include <functional>

//! Transfers whose size is not known in advance.
namespace agatevane {

//! How much of an answer has arrived.
struct TransferProgress {
    std::size_t receivedBytes = 0; //!< with headers
    std::size_t expectedBytes = 0; //!< length of the body, once it is known; otherwise 0
};

//! Limits of one transfer.
struct TransferLimits {
    Instant deadline; //!< the answer has to be complete by then
    std::function<void(const TransferProgress&)> progressed; //!< called each time that bytes arrive; may be empty
};

} // namespace agatevane
