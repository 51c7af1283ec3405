#pragma once

#include "agatevane/routing/routing.h"

//! Outlier ejection: a worker that fails its requests gets none for a while.
namespace agatevane::routing {

//! Counts a result, and ejects or readmits the worker.
void updateHealth(State& state, Worker& worker, Result result, Instant now, Random& random);

//! Whether an ejected worker may get one request as a probe.
bool isProbeDue(const Worker& worker, bool isIdempotent, Instant now);

//! Share of its recent requests that failed, 0 to 1.
double failureShare(const Worker& worker, Instant now);

} // namespace agatevane::routing
