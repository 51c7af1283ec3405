#pragma once

#include "agatevane/store/client.h"
#include "agatevane/store_call/store_call.h"

namespace agatevane::scheduler {

//! Carries out one call of the decision modules; blocks until the answer or the deadline.
StoreReply callStore(store::Client& client, const StoreCall& call, Instant deadline);

} // namespace agatevane::scheduler
