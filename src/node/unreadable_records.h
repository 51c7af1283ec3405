#pragma once

#include "agatevane/fleet/state.h"
#include "agatevane/kv/kv.h"

namespace agatevane::node {

//! Logs a record that can't be read, and counts it in `agatevane_records_unreadable_total{fault}`.
void reportUnreadableRecord(const kv::Item& item, fleet::RecordFault fault = fleet::RecordFault::Damaged);

} // namespace agatevane::node
