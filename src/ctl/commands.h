#pragma once

#include "agatevane/catalogue/entries.h"
#include "ctl/context.h"

//! One function for each subcommand; each returns the exit code.
namespace agatevane::ctl {

ExitCode getEntry(const Context& context, EntryKind kind, const std::string& name);
ExitCode listEntries(const Context& context, const std::string& kind);
//! Checks all files first and writes nothing if one has a finding. Each entry is written only if nobody has changed it
//! since the catalogue was read.
ExitCode setEntries(const Context& context, const std::vector<std::string>& files);
ExitCode diffEntries(const Context& context, const std::vector<std::string>& files);
ExitCode validateEntries(const Context& context, const std::vector<std::string>& files);
ExitCode deleteEntry(const Context& context, EntryKind kind, const std::string& name);

ExitCode listJobs(const Context& context, const std::string& workspace);
ExitCode showJob(const Context& context, const std::string& id);
ExitCode cancelJob(const Context& context, const std::string& id);
//! The file holds the body of `POST /v1/jobs`. With an idempotency key, a submission whose answer was lost can be
//! repeated safely. If `key` is empty, one is generated and printed.
ExitCode submitJob(const Context& context, const std::string& file, std::string key);

ExitCode listWorkspaces(const Context& context);
ExitCode showFleet(const Context& context);
ExitCode listMembers(const Context& context);
ExitCode listOwners(const Context& context);
ExitCode drain(const Context& context, const std::string& vm);

//! Only nodes answer this request; entry VMs do not.
ExitCode listWorkers(const Context& context);
//! Only nodes answer this request; entry VMs do not.
ExitCode listWaves(const Context& context);
//! Only nodes answer this request; entry VMs do not.
ExitCode listEvacuations(const Context& context);
//! Prints what the nodes' log files contain about a job. Sends no request.
ExitCode explainJob(const Context& context, const std::string& job, const std::vector<std::string>& logs);

} // namespace agatevane::ctl
