#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/base/job.h"
#include "entry/catalogue_snapshot.h"

namespace agatevane::entry {

//! Reads the body of `POST /v1/jobs` and checks it against the catalogue. Does not set the id and the data centre.
//! `spec.dataCentre` is the one that the caller named, or empty.
Findings readJobRequest(
    const std::string& body, const CallerEntry& caller, const CatalogueSnapshot& catalogue, JobSpec& spec);

//! The token of a job id: derived from the workspace and the idempotency key, so that the repeat at another VM gives
//! the same id. `freshToken` is used if there is no key.
std::string jobTokenOf(const WorkspaceId& workspace, const std::string& idempotencyKey, const std::string& freshToken);

//! Data centres whose fleet could hold the job, in the order in which to try them. The order depends only on the token
//! and the catalogue (rendezvous hashing, weighted by accelerators), so that every VM chooses the same.
std::vector<DataCentreId> rankDataCentres(
    const JobSpec& spec, const std::string& token, const CatalogueSnapshot& catalogue);

//! The data centre in an id "<data centre>.<token>"; empty if it has none.
DataCentreId dataCentreOf(const JobId& id);

} // namespace agatevane::entry
