#pragma once

#include "agatevane/fleet/state.h"
#include <optional>
#include <string>
#include <string_view>

//! The durable form of jobs: an acceptance that is written once, and progress that is written anew at each change.
namespace agatevane::fleet {

std::string encodeAcceptance(const Job& job);
std::string encodeProgress(const Job& job);

//! Nothing if the record can't be read, for example one of a newer program.
std::optional<Job> decodeAcceptance(std::string_view record);
//! False if the record can't be read or does not fit the job.
bool decodeProgress(std::string_view record, Job& job);

//! An open job without progress.
Job makeJob(JobSpec spec, std::int64_t acceptedUnixMs);

} // namespace agatevane::fleet
