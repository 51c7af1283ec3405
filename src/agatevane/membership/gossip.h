#pragma once

#include "agatevane/membership/members.h"

//! Composes heartbeats, and the records that they carry, within the budget of bytes.
namespace agatevane::membership {

//! A heartbeat of this member without records.
Heartbeat ownHeartbeat(const State& state);

//! Size in bytes of a datagram with a heartbeat of this member without records.
std::size_t bytesWithoutRecords(const State& state);

//! Adds a heartbeat for `peer` to the output. Its records take at most `recordBudget` bytes, which are subtracted from
//! it.
void sendHeartbeat(State& state, const Member& peer, bool isWatcher, double& recordBudget, Output& output);

} // namespace agatevane::membership
