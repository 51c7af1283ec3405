#include "cost.h"
#include "scenarios.h"
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace agatevane;
using namespace agatevane::experiment;

namespace {

using Json = nlohmann::ordered_json;

//! For each measure, the values of all seeds of one setting and candidate.
using ValuesByMeasure = std::map<std::string, std::vector<double>>;

void appendMeasurements(ValuesByMeasure& valuesByMeasure, const Measurements& measurements)
{
    for (const auto& [name, value] : measurements)
        valuesByMeasure[name].push_back(value);
}

ValuesByMeasure runAll(const Setting& setting, Candidate candidate, int seeds, std::uint64_t firstSeed)
{
    ValuesByMeasure valuesByMeasure;
    for (int i = 0; i < seeds; ++i) {
        for (int shard = 0; shard < setting.shards; ++shard) {
            std::uint64_t seed = firstSeed + static_cast<std::uint64_t>(i * setting.shards + shard);
            appendMeasurements(valuesByMeasure, runOrdinary(setting, candidate, seed));
            appendMeasurements(valuesByMeasure, runFloods(setting, candidate, seed));
            appendMeasurements(valuesByMeasure, runLargeCaller(setting, candidate, seed));
            appendMeasurements(valuesByMeasure, runClaim(setting, candidate, seed));
        }
    }
    return valuesByMeasure;
}

double meanOf(const std::vector<double>& values)
{
    double sum = 0;
    for (double value : values)
        sum += value;
    return sum / static_cast<double>(values.size());
}

void print(const Json& rows)
{
    std::printf("%-14s %-22s %-36s %12s %12s %12s\n", "setting", "scheduler", "measure", "mean", "least", "most");
    for (const auto& row : rows) {
        std::printf("%-14s %-22s %-36s %12.2f %12.2f %12.2f\n", row["setting"].get<std::string>().c_str(),
            row["scheduler"].get<std::string>().c_str(), row["measure"].get<std::string>().c_str(),
            row["mean"].get<double>(), row["least"].get<double>(), row["most"].get<double>());
    }
}

Json compare(const std::string& settingFilter, int seeds, std::uint64_t firstSeed)
{
    Json rows = Json::array();
    for (const auto& setting : settings()) {
        if (!settingFilter.empty() && setting.name != settingFilter)
            continue;
        for (auto candidate : { Candidate::Agatevane, Candidate::FirstCome, Candidate::Overtaking }) {
            for (const auto& [name, values] : runAll(setting, candidate, seeds, firstSeed)) {
                rows.push_back({ { "setting", setting.name }, { "scheduler", nameOf(candidate) }, { "measure", name },
                    { "mean", meanOf(values) }, { "least", *std::min_element(values.begin(), values.end()) },
                    { "most", *std::max_element(values.begin(), values.end()) }, { "runs", values.size() } });
            }
        }
    }
    return rows;
}

Json costRows(std::uint64_t seed)
{
    Json rows = Json::array();
    for (const auto& sample : measureCost(seed)) {
        rows.push_back({ { "accelerators", sample.accelerators }, { "tasks", sample.tasks },
            { "workspaces", sample.workspaces }, { "median_us", sample.medianUs }, { "p99_us", sample.p99Us },
            { "worst_us", sample.worstUs }, { "memory_mib", sample.memoryMiB }, { "decisions", sample.decisions } });
    }
    return rows;
}

void printCost(const Json& rows)
{
    std::printf("%12s %8s %10s %10s %10s %10s %11s %10s\n", "accelerators", "tasks", "workspaces", "median us",
        "p99 us", "worst us", "memory MiB", "decisions");
    std::vector<double> tasks;
    std::map<std::string, std::vector<double>> values;
    for (const auto& row : rows) {
        std::printf("%12d %8d %10d %10.1f %10.1f %10.1f %11.2f %10d\n", row["accelerators"].get<int>(),
            row["tasks"].get<int>(), row["workspaces"].get<int>(), row["median_us"].get<double>(),
            row["p99_us"].get<double>(), row["worst_us"].get<double>(), row["memory_mib"].get<double>(),
            row["decisions"].get<int>());
        tasks.push_back(row["tasks"].get<double>());
        for (const char* name : { "median_us", "p99_us", "memory_mib" })
            values[name].push_back(row[name].get<double>());
    }
    std::printf("growth exponents over tasks: median %.2f, p99 %.2f, memory %.2f\n",
        growthExponent(tasks, values["median_us"]), growthExponent(tasks, values["p99_us"]),
        growthExponent(tasks, values["memory_mib"]));
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Compares the scheduling decisions with plain baselines on seeded arrivals in virtual time." };
    std::string output = "table";
    std::string setting;
    int seeds = 10;
    std::uint64_t firstSeed = 1;
    app.add_option("--output", output, "table or json")->check(CLI::IsMember({ "table", "json" }));
    app.add_option("--setting", setting, "visitdesk, avalia or target-shard; all if not given");
    app.add_option("--seeds", seeds, "seeds for each setting")->check(CLI::Range(1, 1000));
    app.add_option("--first-seed", firstSeed, "the first seed; the others follow");
    auto* cost = app.add_subcommand("cost", "Measures decision time and memory over four sizes.");
    CLI11_PARSE(app, argc, argv);
    Json rows = cost->parsed() ? costRows(firstSeed) : compare(setting, seeds, firstSeed);
    if (output == "json")
        std::cout << rows.dump(2) << "\n";
    else if (cost->parsed())
        printCost(rows);
    else
        print(rows);
    return 0;
}
