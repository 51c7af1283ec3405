#include "tests/soak/soak.h"

#include "tests/soak/callers.h"
#include "tests/soak/injector.h"
#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace agatevane::soak {

namespace {

    constexpr Millis step { 20 };
    //! Attempts that the deployment's only queue allows a task.
    constexpr std::size_t maxAttempts = 3;
    //! Accepted jobs have ended this long after the last fault. By then leases have expired, hanging calls have timed
    //! out and failed runs have been repeated.
    constexpr std::int64_t finishBoundMs = 30000;
    //! Every node applies the newest desired state this long after the last fault.
    constexpr std::int64_t settleBoundMs = 4000;

    std::vector<RunEntry> readRuns(test::PlatformDeployment& deployment)
    {
        std::vector<RunEntry> runs;
        for (const auto& each : deployment.runs()) {
            RunEntry run;
            run.task = each.at("task");
            run.job = run.task.substr(0, run.task.find('.'));
            run.number = each.at("run");
            run.worker = each.at("worker");
            run.orderedMs = each.at("orderedMs");
            run.beganMs = each.at("beganMs");
            run.endedMs = each.at("endedMs");
            run.outcome = each.at("how");
            run.isEndAcknowledged = each.at("isNoted");
            runs.push_back(run);
        }
        return runs;
    }

    //! A job may be reported failed only after as many failed runs of one task as its queue allows.
    void checkFailures(Ledger& ledger, const std::vector<RunEntry>& runs)
    {
        for (const auto& [id, job] : ledger.jobs) {
            std::map<std::string, std::set<std::uint32_t>> failed;
            for (const auto& run : runs) {
                if (run.job == id && run.outcome == "failed")
                    failed[job.isGang ? id : run.task].insert(run.number);
            }
            bool hasUsedUpAttempts = std::any_of(
                failed.begin(), failed.end(), [](const auto& each) { return each.second.size() >= maxAttempts; });
            if (job.state == "failed" && !hasUsedUpAttempts)
                ledger.violations.push_back("job " + id + " is reported failed before its attempts were used up");
        }
    }

    bool hasPartialCuts(const SoakOptions& options)
    {
        return options.plan.kinds > faultKindCountBeforePartialCuts;
    }

    std::uint64_t linkRateOf(const SoakOptions& options)
    {
        constexpr std::uint64_t slowLinkBytesPerSecond = 1'250'000; // 10 Mbit/s
        bool mayGrow = options.plan.kinds > faultKindCountBeforeGrowth;
        return options.linkBytesPerSecond.value_or(mayGrow ? slowLinkBytesPerSecond : 0);
    }

    std::int64_t maxLeaseMsOf(const SoakOptions& options)
    {
        constexpr std::int64_t shortMs = 6000;
        constexpr std::int64_t longMs = 10000;
        return options.maxLeaseMs.value_or(hasPartialCuts(options) && options.plan.seed % 2 == 0 ? longMs : shortMs);
    }

    int cancelSoonPercentOf(const SoakOptions& options)
    {
        constexpr int percentStep = 30;
        constexpr std::uint64_t steps = 3;
        if (options.cancelSoonPercent)
            return *options.cancelSoonPercent;
        return hasPartialCuts(options) ? percentStep * static_cast<int>(options.plan.seed % steps) : 0;
    }

    //! Nodes count violated invariants of their own state, and serve the count if they have such checks.
    void checkOwnInvariants(test::PlatformDeployment& deployment, Ledger& ledger)
    {
        constexpr std::string_view series = "agatevane_invariant_violations_total";
        for (int node = 0; node < deployment.nodeCount(); ++node) {
            std::istringstream lines(deployment.metricsOf(node));
            for (std::string line; std::getline(lines, line);) {
                if (line.starts_with(series) && !line.ends_with(" 0"))
                    ledger.violations.push_back("node " + std::to_string(node) + " reports " + line);
            }
        }
    }

    void saveHistory(const std::vector<RunEntry>& runs, const Ledger& ledger, const std::string& path)
    {
        std::ofstream file(path);
        for (const auto& [id, job] : ledger.jobs)
            file << "job " << id << " sent " << job.firstSentMs << " accepted " << job.acceptedMs << " cancel sent "
                 << job.cancelSentMs << " acknowledged " << job.cancelAckedMs << " ended " << job.endedMs << " "
                 << job.state << "\n";
        for (const auto& run : runs)
            file << "run " << run.task << " " << run.number << " " << run.worker << " ordered " << run.orderedMs
                 << " began " << run.beganMs << " ended " << run.endedMs << " " << run.outcome
                 << (run.isEndAcknowledged ? " acknowledged" : "") << "\n";
    }

    void saveLogs(const test::PlatformDeployment& deployment, const SoakOptions& options)
    {
        for (int node = 0; node < deployment.nodeCount(); ++node) {
            std::ofstream file(options.logFolder + "/seed-" + std::to_string(options.plan.seed) + "-node-"
                + std::to_string(node) + ".log");
            file << deployment.logOf(node);
        }
    }

    void checkNodes(test::PlatformDeployment& deployment, const std::string& key, Ledger& ledger)
    {
        for (int node = 0; node < deployment.nodeCount(); ++node) {
            auto status = deployment.sendJobRequest(node, "GET", "", nullptr, nullptr, key);
            auto refused = deployment.sendJobRequest(node, "GET", "", nullptr, nullptr, "key-0");
            if (status != 200 || refused != 401)
                ledger.violations.push_back("node " + std::to_string(node) + " answers " + std::to_string(status)
                    + " to the callers' current key and " + std::to_string(refused) + " to an unknown one");
        }
    }

} // namespace

std::vector<std::string> runSoak(const SoakOptions& options, std::ostream& out)
{
    standin::Relay relay("127.0.0.1", 0);
    test::PlatformDeployment deployment({ options.nodes, options.workers, maxLeaseMsOf(options), &relay });
    Ledger ledger;
    std::vector<int> ports;
    for (int node = 0; node < deployment.nodeCount(); ++node)
        ports.push_back(deployment.advertisedCallersPort(node));
    Callers callers(ledger, ports, options.plan.seed, cancelSoonPercentOf(options));
    std::string key = "key-1";
    auto useKey = [&](const std::string& callersKey) {
        key = callersKey;
        callers.useKey(callersKey);
    };
    Injector injector(deployment, relay, makePlan(options.plan), useKey, linkRateOf(options));
    auto startMs = callers.nowMs();
    auto sinceStart = [&] { return callers.nowMs() - startMs; };
    while (!injector.isFinished()) {
        injector.advance(sinceStart());
        callers.run(step);
    }
    injector.endAllFaults();
    callers.stopSubmitting();
    auto faultsEndedMs = sinceStart();
    while (sinceStart() < faultsEndedMs + settleBoundMs
        || (callers.hasUnfinishedJobs() && sinceStart() < faultsEndedMs + finishBoundMs)) {
        injector.advance(sinceStart());
        callers.run(step);
    }
    for (const auto& [id, job] : ledger.jobs) {
        if (job.isOpen())
            ledger.violations.push_back("job " + id + " accepted at " + std::to_string(job.acceptedMs)
                + " has not ended; last reported state: " + job.state);
    }
    auto runs = readRuns(deployment);
    ledger.historyReadMs = callers.nowMs();
    for (auto impairment : injector.impairments()) {
        impairment.beginMs += startMs;
        impairment.endMs += startMs;
        ledger.impairments.push_back(impairment);
    }
    checkRuns(ledger, runs);
    checkFailures(ledger, runs);
    checkNodes(deployment, key, ledger);
    checkOwnInvariants(deployment, ledger);
    for (const auto& exit : injector.unexpectedExits())
        ledger.violations.push_back(exit);
    if (!ledger.violations.empty() && !options.logFolder.empty()) {
        saveLogs(deployment, options);
        saveHistory(runs, ledger, options.logFolder + "/seed-" + std::to_string(options.plan.seed) + "-history.txt");
    }
    auto accepted = std::count_if(
        ledger.jobs.begin(), ledger.jobs.end(), [](const auto& each) { return each.second.acceptedMs >= 0; });
    auto acknowledged = std::count_if(
        ledger.jobs.begin(), ledger.jobs.end(), [](const auto& each) { return each.second.cancelAckedMs >= 0; });
    out << "seed " << options.plan.seed << ": " << ledger.jobs.size() << " jobs, " << accepted << " accepted, "
        << acknowledged << " cancelled, " << runs.size() << " runs; answers 200: " << callers.answerCount(200)
        << ", 503: " << callers.answerCount(503) << ", 504: " << callers.answerCount(504)
        << ", none: " << callers.answerCount(0) << "; " << ledger.violations.size() << " violated invariants\n";
    return ledger.violations;
}

} // namespace agatevane::soak
