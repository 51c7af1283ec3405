#pragma once

#include "agatevane/catalogue/entries.h"
#include "ctl/context.h"

//! One function for each subcommand; each returns the exit code.
namespace agatevane::ctl {

ExitCode getEntry(const Context& context, EntryKind kind, const std::string& name);
ExitCode listEntries(const Context& context, const std::string& kind);
//! Checks all files first; sends nothing if one is wrong. Each entry is written only if nobody changed it meanwhile.
ExitCode setEntries(const Context& context, const std::vector<std::string>& files);
ExitCode diffEntries(const Context& context, const std::vector<std::string>& files);
ExitCode validateEntries(const Context& context, const std::vector<std::string>& files);
ExitCode deleteEntry(const Context& context, EntryKind kind, const std::string& name);

ExitCode listJobs(const Context& context, const std::string& workspace);
ExitCode showJob(const Context& context, const std::string& id);
ExitCode cancelJob(const Context& context, const std::string& id);
//! The file holds the body of `POST /v1/jobs`. A key makes the repeat of a lost submission safe; one is made and
//! printed if it is empty.
ExitCode submitJob(const Context& context, const std::string& file, std::string key);

ExitCode listWorkspaces(const Context& context);
ExitCode showFleet(const Context& context);
ExitCode listMembers(const Context& context);
ExitCode listOwners(const Context& context);
ExitCode drain(const Context& context, const std::string& vm);

//! Shown by nodes only.
ExitCode listWorkers(const Context& context);
ExitCode listWaves(const Context& context);
//! Prints what the nodes' logs say about a job. Asks no process.
ExitCode explainJob(const Context& context, const std::string& job, const std::vector<std::string>& logs);

} // namespace agatevane::ctl
