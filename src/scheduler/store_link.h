#pragma once

#include "agatevane/store/client.h"
#include "agatevane/store_call/store_call.h"

namespace agatevane::scheduler {

//! Executes one store call that a decision module requested. Blocks until the answer or the deadline.
StoreReply callStore(store::Client& client, const StoreCall& call, Instant deadline);

} // namespace agatevane::scheduler
