#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/base/job.h"
#include "entry/catalogue_snapshot.h"

namespace agatevane::entry {

//! Reads the body of `POST /v1/jobs` and checks it against the catalogue. Returns every invalid field.
//! Does not set the id of the job. `spec.dataCentre` is the data centre that the caller named, or empty.
Findings readJobRequest(
    const std::string& body, const CallerEntry& caller, const CatalogueSnapshot& catalogue, JobSpec& spec);

//! Returns the token of a job id. It is derived from the workspace and the idempotency key, so that a repeat at another
//! VM gets the same id. Without a key, it is `fallbackToken`.
std::string jobTokenOf(
    const WorkspaceId& workspace, const std::string& idempotencyKey, const std::string& fallbackToken);

//! Returns the data centres that have enough accelerators for the job, in the order in which to submit it to them. The
//! order depends only on the token and the catalogue (rendezvous hashing, weighted by accelerators), so that every VM
//! chooses the same.
std::vector<DataCentreId> rankDataCentres(
    const JobSpec& spec, const std::string& token, const CatalogueSnapshot& catalogue);

//! Returns the data centre in an id of the form "<data centre>.<token>", or an empty id if it names none.
DataCentreId dataCentreOf(const JobId& id);

} // namespace agatevane::entry
