#include "agatevane/base/random.h"
#include "agatevane/json/reader.h"
#include "ctl/commands.h"
#include <algorithm>
#include <fstream>
#include <ostream>
#include <sstream>

namespace agatevane::ctl {

namespace {

    //! Names are inserted into the path of a URL, where other characters could lead to another resource.
    bool isPathSafe(const std::string& text)
    {
        auto isAllowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
        return !text.empty() && std::ranges::all_of(text, isAllowed);
    }

    ExitCode reportInvalidName(const Context& context, const std::string& text)
    {
        context.err << "\"" << text << "\" is not a valid name; allowed are letters, digits, '-', '_' and '.'\n";
        return BadUsage;
    }

    ExitCode printList(const Context& context, const std::string& path, const std::string& rowsField,
        const std::vector<Column>& columns)
    {
        auto answer = sendRequest(context, "GET", path);
        if (answer.exitCode == Success)
            printRows(context, answer.body, rowsField, columns);
        return answer.exitCode;
    }

} // namespace

ExitCode listJobs(const Context& context, const std::string& workspace)
{
    if (!workspace.empty() && !isPathSafe(workspace))
        return reportInvalidName(context, workspace);
    auto path = workspace.empty() ? std::string("/v1/jobs") : "/v1/jobs?workspace=" + workspace;
    return printList(context, path, "jobs",
        { { "ID", "id" }, { "STATE", "state" }, { "WORKSPACE", "workspace" }, { "QUEUE", "queue" },
            { "CLASS", "class" }, { "PRIORITY", "priority" }, { "ACCELERATORS", "accelerators" }, { "AGE MS", "ageMs" },
            { "QUEUED MS", "queuedForMs" }, { "RUNNING MS", "runningForMs" }, { "WAITING TASKS", "waitingTasks" },
            { "REASON", "reason" } });
}

ExitCode showJob(const Context& context, const std::string& id)
{
    if (!isPathSafe(id))
        return reportInvalidName(context, id);
    auto answer = sendRequest(context, "GET", "/v1/jobs/" + id);
    if (answer.exitCode == Success)
        printObject(context, answer.body);
    return answer.exitCode;
}

ExitCode cancelJob(const Context& context, const std::string& id)
{
    if (!isPathSafe(id))
        return reportInvalidName(context, id);
    auto answer = sendRequest(context, "DELETE", "/v1/jobs/" + id);
    if (answer.exitCode == Success)
        printObject(context, answer.body);
    return answer.exitCode;
}

ExitCode submitJob(const Context& context, const std::string& file, std::string key)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    Findings findings;
    nlohmann::json body;
    if (!stream)
        findings.push_back({ file, "cannot be read" });
    else
        json::parse(text.str(), file, body, findings);
    if (!findings.empty()) {
        context.err << format(findings);
        return Invalid;
    }
    if (key.empty()) {
        auto random = makeRandom();
        key = randomToken(random);
        context.err << "idempotency key: " << key << "\n";
    }
    auto answer = sendRequest(context, "POST", "/v1/jobs", text.str(), { { "Idempotency-Key", key } });
    if (answer.exitCode == Success)
        printObject(context, answer.body);
    else if (answer.exitCode == Unknown)
        context.err << "Repeat with --idempotency-key " << key << "; the job is then accepted at most once.\n";
    return answer.exitCode;
}

ExitCode listWorkspaces(const Context& context)
{
    return printList(context, "/v1/workspaces", "workspaces",
        { { "WORKSPACE", "workspace" }, { "DATA CENTRE", "dataCentre" }, { "GUARANTEED", "guaranteed" },
            { "EFFECTIVE", "effectiveGuarantee" }, { "USED", "used" }, { "BY URGENT", "usedByUrgent" },
            { "LENT", "lent" }, { "LENDABLE", "lendable" }, { "WAITING", "waiting" }, { "SHARE", "dominantShare" },
            { "STATUS", "status" } });
}

ExitCode showFleet(const Context& context)
{
    return printList(context, "/v1/fleet", "dataCentres",
        { { "DATA CENTRE", "dataCentre" }, { "OWNER", "owner" }, { "WORKERS", "workers" },
            { "REACHABLE", "workersReachable" }, { "ACCELERATORS", "accelerators" }, { "FREE", "acceleratorsFree" },
            { "LARGEST GANG", "largestFreeGang" }, { "QUEUED", "jobsQueued" }, { "RUNNING", "jobsRunning" },
            { "OLDEST QUEUED MS", "oldestQueuedMs" } });
}

ExitCode listMembers(const Context& context)
{
    return printList(context, "/v1/members", "members",
        { { "MEMBER", "member" }, { "ADDRESS", "address" }, { "STATE", "state" }, { "LEAVING", "leaving" },
            { "INCARNATION", "incarnation" }, { "SILENT MS", "silentMs" }, { "CATALOGUE", "catalogueRevision" } });
}

ExitCode listOwners(const Context& context)
{
    return printList(context, "/v1/owners", "owners",
        { { "DATA CENTRE", "dataCentre" }, { "OWNER", "owner" }, { "ADDRESS", "address" }, { "EPOCH", "epoch" },
            { "REVISION", "revision" } });
}

ExitCode drain(const Context& context, const std::string& vm)
{
    if (!isPathSafe(vm))
        return reportInvalidName(context, vm);
    auto answer = sendRequest(context, "POST", "/v1/vms/" + vm + "/drain");
    if (answer.exitCode == Success)
        printObject(context, answer.body);
    return answer.exitCode;
}

} // namespace agatevane::ctl
