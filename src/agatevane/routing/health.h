#pragma once

#include "agatevane/routing/routing.h"

//! Outlier ejection: a worker whose requests fail gets no requests for some time, then single probes.
namespace agatevane::routing {

//! Records the result of a request, and ejects or readmits the worker accordingly.
void updateHealth(State& state, Worker& worker, Result result, Instant now, Random& random);

//! Whether an ejected worker may get one request as a probe.
bool isProbeDue(const Worker& worker, bool isIdempotent, Instant now);

//! Share of the worker's recent requests that failed, 0 to 1.
double failureShare(const Worker& worker, Instant now);

} // namespace agatevane::routing
