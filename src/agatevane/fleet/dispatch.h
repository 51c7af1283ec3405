#pragma once

#include "agatevane/fleet/state.h"

//! Decides which waiting work starts and which runs are stopped to make capacity for it.
namespace agatevane::fleet {

//! One placement round: pending steps get capacity in order of urgency, and may preempt less urgent runs. New runs are
//! only added to the state; emitRunOrders emits their orders.
void place(Fleet& fleet, std::int64_t unixMs, Instant at);

//! Applies new settings of queues and tenants.
void applyDesiredState(Fleet& fleet, const desired_state::DesiredState& desired);

//! Does all that is due at `at`: removes expired runs, places work, and returns the orders to send.
Orders advance(Fleet& fleet, std::int64_t unixMs, Instant at);

} // namespace agatevane::fleet
