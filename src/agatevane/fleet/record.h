#pragma once

#include "agatevane/fleet/state.h"
#include <optional>
#include <string>
#include <string_view>

//! Durable records of jobs: an acceptance record, written once, and a progress record, rewritten at each change.
namespace agatevane::fleet {

std::string encodeAcceptance(const Job& job);
std::string encodeProgress(const Job& job);

//! Nothing if the record can't be read or contradicts itself; see `faultOf`.
std::optional<Job> decodeAcceptance(std::string_view record);
//! False if the record can't be read or does not fit the job.
bool decodeProgress(std::string_view record, Job& job);
//! Why a record of either kind can't be read.
RecordFault faultOf(std::string_view record);

//! A job without progress, in phase Accepting.
Job makeJob(JobSpec spec, std::int64_t acceptedUnixMs);

} // namespace agatevane::fleet
