#include "agatevane/settings/settings.h"
#include "ctl/commands.h"
#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>

using namespace agatevane;

namespace {

constexpr const char* summary = R"(Operates agatevane through the HTTP interface of any entry VM, and shows what any
agatevane-node knows when --entry is the node's metrics address: jobs, workspaces, fleet, members, owners, workers,
waves and evacuations. `explain` reads the nodes' logs and asks no process.

Exit codes: 0 done, 1 refused (nothing was changed), 2 wrong usage, 3 the entry cannot be reached (nothing was
changed), 4 conflict with another operator's change, 5 not found, 6 the answer was lost (the change may be in force),
7 findings in a file (nothing was changed), 8 `catalogue diff` found differences.)";

//! Values of the arguments of all subcommands.
struct Arguments {
    std::string kind;
    std::string name;
    std::vector<std::string> files;
    std::string workspace;
    std::string key;
};

using Command = std::function<int(const ctl::Context&)>;

CLI::App* addCommand(CLI::App& parent, const char* name, const char* help, Command& chosen, Command command)
{
    auto* sub = parent.add_subcommand(name, help);
    sub->fallthrough();
    sub->callback([&chosen, command = std::move(command)] { chosen = command; });
    return sub;
}

EntryKind kindOf(const Arguments& arguments)
{
    return *fromName<EntryKind>(arguments.kind);
}

void addKind(CLI::App* sub, Arguments& arguments, bool isRequired)
{
    std::vector<std::string> kinds;
    kinds.reserve(EnumNames<EntryKind>::table.size());
    for (const auto& entry : EnumNames<EntryKind>::table)
        kinds.emplace_back(entry.second);
    sub->add_option("kind", arguments.kind, "kind of entry")->required(isRequired)->check(CLI::IsMember(kinds));
}

void addCatalogueCommands(CLI::App& app, Arguments& arguments, Command& chosen)
{
    auto* catalogue = app.add_subcommand("catalogue", "Read, check and change the catalogue");
    catalogue->require_subcommand(1);
    catalogue->fallthrough();
    auto add = [&](const char* name, const char* help, Command command) {
        return addCommand(*catalogue, name, help, chosen, std::move(command));
    };
    auto addEntry = [&](CLI::App* sub) {
        addKind(sub, arguments, true);
        sub->add_option("name", arguments.name, "name of the entry")->required();
    };
    auto addFiles = [&](CLI::App* sub) {
        sub->add_option("files", arguments.files, "JSON files: {\"workspaces\": [{\"id\": ...}], ...}")->required();
    };
    addEntry(add("get", "Print one entry in the form that `set` reads",
        [&](const auto& context) { return ctl::getEntry(context, kindOf(arguments), arguments.name); }));
    addKind(add("list", "List the entries of one kind or of all",
                [&](const auto& context) { return ctl::listEntries(context, arguments.kind); }),
        arguments, false);
    addFiles(add("set", "Check all files, then write their entries, unless someone else has changed them",
        [&](const auto& context) { return ctl::setEntries(context, arguments.files); }));
    addFiles(add("diff", "Show what `set` would change",
        [&](const auto& context) { return ctl::diffEntries(context, arguments.files); }));
    addFiles(add("validate", "Check files against the catalogue in force and report every finding",
        [&](const auto& context) { return ctl::validateEntries(context, arguments.files); }));
    addEntry(add("delete", "Delete one entry",
        [&](const auto& context) { return ctl::deleteEntry(context, kindOf(arguments), arguments.name); }));
}

void addJobCommands(CLI::App& app, Arguments& arguments, Command& chosen)
{
    auto* jobs = app.add_subcommand("jobs", "Submit, inspect and cancel jobs");
    jobs->require_subcommand(1);
    jobs->fallthrough();
    auto add = [&](const char* name, const char* help, Command command) {
        return addCommand(*jobs, name, help, chosen, std::move(command));
    };
    add("list", "List jobs", [&](const auto& context) {
        return ctl::listJobs(context, arguments.workspace);
    })->add_option("--workspace", arguments.workspace, "list only jobs of this workspace");
    add("show", "Show a job, why it is waiting and what it needs to start",
        [&](const auto& context) { return ctl::showJob(context, arguments.name); })
        ->add_option("id", arguments.name, "job id")
        ->required();
    add("cancel", "Cancel a job", [&](const auto& context) { return ctl::cancelJob(context, arguments.name); })
        ->add_option("id", arguments.name, "job id")
        ->required();
    auto* submit = add("submit", "Submit the job described in a JSON file",
        [&](const auto& context) { return ctl::submitJob(context, arguments.files.front(), arguments.key); });
    submit->add_option("file", arguments.files, "body of POST /v1/jobs")->required()->expected(1);
    submit->add_option("--idempotency-key", arguments.key, "repeats with the same key are accepted at most once");
}

} // namespace

int main(int argc, char** argv)
{
    settings::Settings settings("agatevanectl", summary, "agatevanectl --entry 10.0.0.1:8080 jobs show tartu.1f2e");
    ctl::Context context { .entry = { "127.0.0.1", 8080 }, .token = "", .out = std::cout, .err = std::cerr };
    std::string caFile;
    settings.endpoint("--entry", context.entry, "HTTP address of any entry VM");
    settings.text("--token", context.token, "bearer token; prefer the variable, since others see command lines");
    settings.text("--ca-file", caFile, "PEM file that the certificate of an https entry must chain to");
    settings.duration("--timeout-ms", context.timeout, Millis(100), Millis(300000), "time for each request");
    settings.choice("--output", context.format, "form of the output");

    Arguments arguments;
    Command chosen;
    auto& app = settings.app();
    app.require_subcommand(1);
    addCatalogueCommands(app, arguments, chosen);
    addJobCommands(app, arguments, chosen);
    addCommand(app, "workspaces", "Guarantees and usage of all workspaces", chosen, ctl::listWorkspaces);
    addCommand(app, "fleet", "Accelerators, queues and owners of all data centres", chosen, ctl::showFleet);
    addCommand(app, "members", "Entry VMs as the entry VM that answers sees them", chosen, ctl::listMembers);
    addCommand(app, "owners", "Owner and epoch of each data centre", chosen, ctl::listOwners);
    addCommand(app, "workers", "Workers as the owner of the fleet sees them (nodes only)", chosen, ctl::listWorkers);
    addCommand(app, "waves", "Waves of machine upkeep (nodes only)", chosen, ctl::listWaves);
    addCommand(
        app, "evacuations", "Data centres in which nothing may start (nodes only)", chosen, ctl::listEvacuations);
    auto* explain = addCommand(app, "explain", "What the nodes' logs contain about a job, in order of time", chosen,
        [&](const auto& commandContext) { return ctl::explainJob(commandContext, arguments.name, arguments.files); });
    explain->add_option("id", arguments.name, "job id")->required();
    explain->add_option("logs", arguments.files, "log files of the nodes")->required();
    addCommand(app, "drain", "Make an entry VM stop accepting new requests; end it with SIGTERM afterwards", chosen,
        [&](const auto& commandContext) { return ctl::drain(commandContext, arguments.name); })
        ->add_option("vm", arguments.name, "name of the VM")
        ->required();

    if (auto exitCode = settings.parseOrPrint(argc, argv, std::cout, std::cerr))
        return *exitCode;
    context.entry.caFile = caFile;
    return chosen(context);
}
