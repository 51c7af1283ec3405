#pragma once

#include "agatevane/fleet/state.h"
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

//! Parts of a job's progress. The store takes no value beyond a limit, and each change of a task rewrites the value
//! that holds the task. So once a job's progress record grows long, its tasks are stored in parts of a few tasks each,
//! and only those that have changed are written. The progress record then holds the phase alone.
//!
//! The record without tasks is written after the parts, so that the longer record before it stays valid until all parts
//! are there. Once a job has ended, only that record counts.
namespace agatevane::fleet {

//! Followed by the job's id, a slash and the number of the part.
constexpr const char* partPrefix = "agatevane/tasks/";

//! Longest part, where the store takes values of this length. The checkpoints that do not fit are left out.
constexpr std::size_t maxPartBytes = 256UL * 1024;
//! A longer progress record is split into parts.
constexpr std::size_t maxWholeBytes = 64UL * 1024;

//! The job and the part that the key of a part names.
struct PartName {
    JobId job;
    PartNumber number = 0;
};

std::string partKey(const JobId& job, PartNumber number);
//! Nothing if the key names no part.
std::optional<PartName> readPartKey(std::string_view key);

//! A change of the task has to be stored with the job's next progress write.
void noteTaskChanged(Job& job, const TaskId& id);
//! The job's tasks are stored in parts from now on; those that have made progress have to be written.
void splitIntoParts(Job& job);

//! The tasks of a part. Checkpoints are included while the record is not longer than `maxBytes`, first those of tasks
//! without a run: a worker has the checkpoint of a run.
std::string encodePart(const Job& job, PartNumber number, std::size_t maxBytes);
//! Adds a part that the store holds to a job whose progress record is already decoded. False if the job needs the part
//! and it can't be read or does not fit.
bool inheritPart(std::string_view record, PartNumber number, Job& job);

} // namespace agatevane::fleet
