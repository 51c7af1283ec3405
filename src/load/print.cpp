#include "load/print.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>

namespace agatevane::load {

namespace {

    constexpr std::array<double, 4> percentileShares { 0.5, 0.9, 0.99, 0.999 };

    double percentile(std::vector<double> values, double share)
    {
        if (values.empty())
            return 0;
        auto position = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), position, values.end());
        return *position;
    }

    void printJson(const Report& report, std::ostream& out)
    {
        nlohmann::json groups;
        for (const auto& [name, counts] : report.groups) {
            auto& group = groups[name];
            for (const auto& [verdict, verdictName] : EnumNames<Verdict>::table)
                group[std::string(verdictName)] = counts.count(verdict);
            for (double share : percentileShares)
                group["latencyMs"][std::to_string(share * 100).substr(0, 4)] = percentile(counts.latenciesMs, share);
        }
        nlohmann::json all { { "groups", groups }, { "lateStarts", report.lateStarts },
            { "wrongAnswers", report.wrongCount }, { "examples", report.wrongAnswers } };
        out << all.dump(2) << "\n";
    }

    void printTable(const Report& report, std::ostream& out)
    {
        out << std::left << std::setw(16) << "group" << std::right << std::setw(9) << "sent";
        for (const auto& [verdict, name] : EnumNames<Verdict>::table)
            out << std::setw(10) << name;
        out << std::setw(9) << "p50_ms" << std::setw(9) << "p90_ms" << std::setw(9) << "p99_ms" << std::setw(10)
            << "p99.9_ms"
            << "\n";
        for (const auto& [name, counts] : report.groups) {
            out << std::left << std::setw(16) << name << std::right << std::setw(9) << counts.total();
            for (const auto& entry : EnumNames<Verdict>::table)
                out << std::setw(10) << counts.count(entry.first);
            out << std::fixed << std::setprecision(1);
            for (double share : percentileShares)
                out << std::setw(share == percentileShares.back() ? 10 : 9) << percentile(counts.latenciesMs, share);
            out << "\n";
        }
        out << "late starts: " << report.lateStarts << "\nwrong answers: " << report.wrongCount << "\n";
        for (const auto& reason : report.wrongAnswers)
            out << "  " << reason << "\n";
    }

} // namespace

void print(const Report& report, Format format, std::ostream& out)
{
    if (format == Format::Json)
        printJson(report, out);
    else
        printTable(report, out);
}

} // namespace agatevane::load
