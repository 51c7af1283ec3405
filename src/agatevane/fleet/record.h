#pragma once

#include "agatevane/fleet/state.h"
#include <optional>
#include <string>
#include <string_view>

//! Durable records of jobs: an acceptance record, written once, and a progress record, rewritten at each change. The
//! tasks of a job with much progress are stored in parts, see progress_parts.h.
namespace agatevane::fleet {

enum class RecordKind { Acceptance, Progress, Part };

std::string encodeAcceptance(const Job& job);
//! Size of the acceptance record of a job with this specification.
std::size_t acceptanceBytes(const JobSpec& spec);
std::string encodeProgress(const Job& job);
//! The progress of a job that has ended, or whose tasks are stored in parts.
std::string encodePhase(const Job& job);

//! Nothing if the record can't be read or contradicts itself; see `faultOf`.
std::optional<Job> decodeAcceptance(std::string_view record);
//! False if the record can't be read or does not fit the job.
bool decodeProgress(std::string_view record, Job& job);
//! Why a record can't be read.
RecordFault faultOf(RecordKind kind, std::string_view record);

//! A job without progress, in phase Accepting.
Job makeJob(JobSpec spec, std::int64_t acceptedUnixMs);

} // namespace agatevane::fleet
