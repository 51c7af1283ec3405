#pragma once

#include "agatevane/fleet/state.h"

//! Decides what starts and what is stopped for it.
namespace agatevane::fleet {

//! One round: units in order of urgency get room; the most urgent ones may stop others. Orders are entered as runs and
//! emitted by emitRunOrders.
void place(Fleet& fleet, std::int64_t unixMs, Instant at);

//! Takes over the queues' and tenants' new settings.
void applyDesiredState(Fleet& fleet, const desired_state::DesiredState& desired);

//! Everything that is due at `at`: expiry, placement, orders.
Orders advance(Fleet& fleet, std::int64_t unixMs, Instant at);

} // namespace agatevane::fleet
