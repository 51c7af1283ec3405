#include "capacity/measure.h"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace agatevane::capacity {

namespace {

    // The target scale and the budgets of a node, from the design page.
    constexpr double workers = 19000;
    constexpr double dataCentres = 12;
    constexpr double regions = 5;
    constexpr double tasks = 210000;
    constexpr double jobsPerSecond = 42000.0 / 86400;
    constexpr double changesPerSecond = 88000.0 / 86400;
    constexpr double teams = 420;
    constexpr double coreBudget = 0.021;
    constexpr double memoryBudget = 32e6;
    constexpr double trafficBudget = 3000;

    // Limits and intervals of the modules, from which the figures are computed.
    constexpr double entryBytesLimit = 900000; // maxEntryBytes
    constexpr double storeReadsPerVm = 0.5; // three readers, each of which reads every 6 s
    constexpr double storeReadingVms = 30;
    constexpr double storeWrites = 300; // "several hundred a second"
    constexpr double journalWritesPerDataCentre = 10; // at most one batch in 100 ms
    constexpr double ringEvents = 8192;

    struct Measured {
        Series membershipBytes = capacity::membershipBytes();
        Series membershipTick = capacity::membershipTick();
        Series catalogueApply = capacity::catalogueApply();
        Series catalogueMemory = capacity::catalogueMemory();
        Series dataCentreBytes = capacity::dataCentreBytes();
        Series timelineMemory = capacity::timelineMemory();
        Series timelineRecord = capacity::timelineRecord();
        Series metricsRender = capacity::metricsRender();
        Series rpcCall = capacity::rpcCall();
        Series httpPoll = capacity::httpPoll();
        Series reportBytes = capacity::reportBytes();
        Series reportDecode = capacity::reportDecode();
        Series renewEncode = capacity::renewEncode();
        Series journalEncode = capacity::journalEncode();
        Series journalBytes = capacity::journalBytes();
        Series shardDecide = capacity::shardDecide();
        Series shardMemory = capacity::shardMemory();
        Series fleetRound = capacity::fleetRound();
        Series fleetJob = capacity::fleetJob();
        Series fleetPollAnswer = capacity::fleetPollAnswer();
        Series fleetMemory = capacity::fleetMemory();
        Series fleetRecordBytes = capacity::fleetRecordBytes();

        std::vector<const Series*> all() const
        {
            return { &membershipBytes, &membershipTick, &catalogueApply, &catalogueMemory, &dataCentreBytes,
                &timelineMemory, &timelineRecord, &metricsRender, &rpcCall, &httpPoll, &reportBytes, &reportDecode,
                &renewEncode, &journalEncode, &journalBytes, &shardDecide, &shardMemory, &fleetRound, &fleetJob,
                &fleetPollAnswer, &fleetMemory, &fleetRecordBytes };
        }
    };

    std::string number(double value)
    {
        char text[32];
        double magnitude = value < 0 ? -value : value;
        const char* format = magnitude >= 100 || value == std::floor(value) ? "%.0f" : magnitude >= 1 ? "%.1f" : "%.3g";
        std::snprintf(text, sizeof text, format, value);
        return text;
    }

    std::string verdict(double value, double budget)
    {
        return value <= budget ? "met" : "**not met**, " + number(value / budget) + " times the budget";
    }

    std::string measuredTable(const Measured& measured)
    {
        std::string text = "| measured | size | values at the sizes | base | slope per unit |\n|---|---|---|---|---|\n";
        for (const auto* series : measured.all()) {
            std::string values;
            for (const auto& sample : series->samples)
                values += (values.empty() ? "" : "; ") + number(sample.size) + ": " + number(sample.value);
            auto line = series->line();
            text += "| " + series->name + " | " + series->sizeName + " | " + values + " | " + number(line.intercept)
                + " | " + number(line.slope) + " |\n";
        }
        return text;
    }

    //! Costs of the owner of one data centre at the target scale.
    struct Owner {
        double workers = capacity::workers / dataCentres;
        double tasksPerWorker = tasks / capacity::workers;
        double pollMicroseconds = 0; //!< processor time for each worker in each second
        double cores = 0;
        double memory = 0;
        double bytesPerWorker = 0;
        double tasksAtBudget = 0;

        explicit Owner(const Measured& measured)
        {
            // The measured HTTP call includes the worker's half. Report and renewal are two calls, so two halves make
            // one measured call.
            pollMicroseconds = measured.httpPoll.line().at(tasksPerWorker)
                + measured.reportDecode.line().at(tasksPerWorker) + measured.renewEncode.line().at(tasksPerWorker);
            auto jobMicroseconds = measured.shardDecide.line().at(workers) * jobsPerSecond / dataCentres;
            cores = (workers * pollMicroseconds + jobMicroseconds) / 1e6;
            memory = measured.shardMemory.line().at(workers) + measured.timelineMemory.line().at(ringEvents);
            bytesPerWorker = measured.reportBytes.line().at(tasksPerWorker);
            auto line = measured.reportBytes.line();
            tasksAtBudget = (trafficBudget - line.intercept) / line.slope;
        }
    };

    std::string budgets(const Measured& measured, const Owner& owner)
    {
        std::string text = "| budget of a node | figure at the target scale | |\n|---|---|---|\n";
        auto row = [&](const std::string& budget, const std::string& figure, const std::string& met) {
            text += "| " + budget + " | " + figure + " | " + met + " |\n";
        };
        row("3 KB/s, worker",
            number(owner.bytesPerWorker) + " B/s of report and renewal bodies with " + number(owner.tasksPerWorker)
                + " tasks; HTTP and TCP headers come on top. The budget is used up at " + number(owner.tasksAtBudget)
                + " tasks",
            verdict(owner.bytesPerWorker, trafficBudget));
        row("2.1 % of a core, scheduler that owns one data centre",
            number(owner.cores * 100) + " % for " + number(owner.workers) + " workers at "
                + number(owner.pollMicroseconds) + " us each a second",
            verdict(owner.cores, coreBudget));
        row("2.1 % of a core, mean over the workers that are managed",
            number(owner.pollMicroseconds / 1e4) + " % for each worker",
            verdict(owner.pollMicroseconds / 1e6, coreBudget));
        row("32 MB, scheduler that owns one data centre",
            number(owner.memory / 1e6) + " MB of shard state and timeline; connections and code come on top",
            verdict(owner.memory, memoryBudget));
        auto membership = measured.membershipBytes.line().at(128);
        row("1 KB/s, membership of an entry VM",
            number(membership) + " B/s sent in a group of 128; at most 1000 B/s in any group by its byte budget",
            verdict(membership, 1000));
        return text;
    }

    std::string roles(const Measured& measured, const Owner& owner)
    {
        auto dataCentreLimit
            = (entryBytesLimit - measured.dataCentreBytes.line().intercept) / measured.dataCentreBytes.line().slope;
        auto catalogueBytes = measured.catalogueMemory.line().at(2 * teams)
            + dataCentres * measured.dataCentreBytes.line().at(owner.workers);
        auto dataCentreEntry = measured.dataCentreBytes.line().at(owner.workers);
        auto journalPerSecond = 2 * jobsPerSecond * measured.journalBytes.line().slope;
        auto journalLimit = storeWrites / (dataCentres * journalWritesPerDataCentre);
        auto remoteShare = (regions - 1) / regions;
        std::string text
            = "| role | state | messages | processor | memory | carried by | store calls/s | billed traffic "
              "between regions | breaks first, at what multiple |\n|---|---|---|---|---|---|---|---|---|\n";
        auto row = [&](const std::vector<std::string>& cells) {
            for (const auto& cell : cells)
                text += "| " + cell + " ";
            text += "|\n";
        };
        row({ "scheduler, for each data centre it owns",
            number(owner.workers) + " workers, " + number(owner.workers * owner.tasksPerWorker) + " tasks, its journal",
            number(2 * owner.workers) + " HTTP requests/s to workers", number(owner.cores) + " cores",
            number(owner.memory / 1e6) + " MB",
            "one report and one renewal for each worker and second, not for each task",
            number(2 * jobsPerSecond / dataCentres) + " journal writes; at most " + number(journalWritesPerDataCentre)
                + " by group commit",
            number(journalPerSecond / dataCentres) + " B/s of journal if the store is in another region",
            "processor of the owner: one core at " + number(1 / owner.cores) + " times the workers of a data centre" });
        row({ "entry",
            "the catalogue: " + number(2 * teams) + " workspaces and callers, " + number(dataCentres) + " data centres",
            number(changesPerSecond) + " changes/s",
            number(changesPerSecond * measured.catalogueApply.line().at(2 * teams) / 1e6) + " cores for small entries",
            number(catalogueBytes / 1e6) + " MB", "store watch, pulls between peers, views by revision",
            number(storeReadsPerVm) + " reads for each VM and one waiting watch; " + number(changesPerSecond)
                + " writes in all",
            "a change of one worker sends " + number(dataCentreEntry / 1e3) + " KB to each VM",
            "size of a data centre's entry: " + number(dataCentreLimit) + " workers, "
                + number(dataCentreLimit / owner.workers) + " times the mean" });
        row({ "entry VM, membership", "all entry VMs", "6 datagrams/s",
            number(measured.membershipTick.line().at(128) * 2 / 1e6) + " cores with 128 VMs", "under 1 MB",
            "two watchers on a hash ring and one random peer; a byte budget", "0",
            number(measured.membershipBytes.line().at(128) * remoteShare) + " B/s for each VM",
            "processor of a tick grows with the VMs; the traffic does not" });
        row({ "worker", "its tasks and leases", "2 requests/s", "the platform's", "the platform's",
            "report and renewal", "0", "0 while the owner is in its region",
            "traffic: 3 KB/s at " + number(owner.tasksAtBudget) + " tasks, "
                + number(owner.tasksAtBudget / owner.tasksPerWorker) + " times the mean" });
        row({ "store", "catalogue, owner records, journals, claims",
            number(changesPerSecond + 2 * jobsPerSecond) + " writes/s of changes and jobs", "the platform's",
            "the platform's", "group commit; owner records are written only when owners change",
            number(changesPerSecond + 2 * jobsPerSecond) + " writes; " + number(storeReadingVms * storeReadsPerVm)
                + " reads with " + number(storeReadingVms) + " or more VMs",
            number(journalPerSecond) + " B/s of journal in all",
            "300 writes/s are reached at " + number(journalLimit)
                + " times the data centres if all of them commit every 100 ms" });
        return text;
    }

    //! Tabulates the decision costs of one owner of the fleet in agatevane-node, without its calls to workers and
    //! store.
    std::string nodeOwner(const Measured& measured)
    {
        struct Size {
            const char* name;
            double workers;
        };
        auto tasksPerWorker = tasks / workers;
        std::string text
            = "| one owner for | a round | rounds a second in 2.1 % of a core | answers of polls, one a worker "
              "and second | jobs | memory | 32 MB |\n|---|---|---|---|---|---|---|\n";
        for (const auto& size :
            { Size { "a data centre", workers / dataCentres }, Size { "the whole fleet", workers } }) {
            auto round = measured.fleetRound.line().at(size.workers);
            auto pollAnswerCores = size.workers * measured.fleetPollAnswer.line().at(tasksPerWorker) / 1e6;
            auto jobs = measured.fleetJob.line().at(size.workers) * jobsPerSecond * size.workers / workers / 1e6;
            auto memory = measured.fleetMemory.line().at(size.workers);
            text += std::string("| ") + size.name + ": " + number(size.workers) + " workers | " + number(round)
                + " us | " + number(coreBudget * 1e6 / round) + " | " + number(pollAnswerCores * 100)
                + " % of a core | " + number(jobs * 100) + " % of a core | " + number(memory / 1e6) + " MB | "
                + verdict(memory, memoryBudget) + " |\n";
        }
        return text;
    }

} // namespace

std::string report()
{
    Measured measured;
    Owner owner(measured);
    std::string text
        = "# Capacity at the target scale\n\n"
          "Generated by `agatevane-capacity > docs/CAPACITY.md`. Each cost is measured at four sizes in one "
          "process on the\nmachine that ran it; lines are fitted by least squares. Figures at the target "
          "scale are extrapolated from these\nlines and were not run at that scale.\n\n";
    double load = 0;
    getloadavg(&load, 1);
    text += "This run: " + number(std::thread::hardware_concurrency()) + " cores, load average " + number(load)
        + " at its end. Times are processor time.\n\n";
    text += "Target: " + number(workers) + " workers, " + number(dataCentres) + " data centres of equal size, "
        + number(regions) + " regions, " + number(tasks) + " running tasks, " + number(jobsPerSecond) + " jobs/s, "
        + number(changesPerSecond) + " catalogue\nchanges/s, " + number(teams) + " teams.\n\n";
    text += "## Measured\n\n" + measuredTable(measured) + "\n## Budgets\n\n" + budgets(measured, owner);
    text += "\n## Roles\n\n" + roles(measured, owner);
    text += "\n## Entry VMs\n\nAt least " + number(dataCentres)
        + " VMs, so that each owns at most one data centre and keeps the figures above. Owning stays with "
          "one\nscheduler "
          "for each data centre, so more VMs do not lower the processor time of an owner; only smaller data centres "
          "do.\n"
          "With up to "
        + number(storeReadingVms)
        + " VMs, each reads the store by itself; beyond, most freshness proofs come from peers.\n";
    text += "\n## agatevane-node\n\n" + nodeOwner(measured) + "\nRecords of accepted jobs take "
        + number(measured.fleetRecordBytes.line().slope * jobsPerSecond)
        + " B/s of the store. The calls to workers, with HTTP and JSON, come on top;\nthe sweep in MEASUREMENTS.md "
          "measures "
          "them with whole processes, and docs/platform.md says what breaks first.\n";
    return text;
}

} // namespace agatevane::capacity
