#include "entry/job_request.h"

#include "agatevane/base/hash.h"
#include "agatevane/json/reader.h"
#include <algorithm>
#include <cmath>

namespace agatevane::entry {

Findings readJobRequest(
    const std::string& body, const CallerEntry& caller, const CatalogueSnapshot& catalogue, JobSpec& spec)
{
    using json::Presence;
    constexpr int maxGangSize = 128;
    constexpr std::int64_t maxExpectedSeconds = 30LL * 24 * 3600;
    constexpr std::size_t maxPayloadBytes = 256 << 10; // A batch of the journal holds 512 KB.
    Findings findings;
    nlohmann::json value;
    if (!json::parse(body, "body", value, findings))
        return findings;
    spec.workspace = caller.workspace;
    spec.caller = caller.id;
    std::int64_t expectedSeconds = 0;
    json::ObjectReader reader(value, "", findings);
    reader.read("workspace", spec.workspace, Presence::Optional);
    reader.read("kind", spec.kind, Presence::Required, 256);
    reader.read("class", spec.workClass, Presence::Optional);
    reader.read("accelerators", spec.accelerators, Presence::Required, 1, maxGangSize);
    reader.read("acceleratorsPerWorker", spec.acceleratorsPerWorker, Presence::Optional, 0, maxGangSize);
    reader.read("expectedSeconds", expectedSeconds, Presence::Required, 1, maxExpectedSeconds);
    reader.read("canCheckpoint", spec.canCheckpoint, Presence::Optional);
    reader.read("canStop", spec.canStop, Presence::Optional);
    reader.read("dataCentre", spec.dataCentre, Presence::Optional);
    reader.read("maxRackSpread", spec.maxSpread, Presence::Optional);
    reader.read("payload", spec.payload, Presence::Optional, maxPayloadBytes);
    reader.finish();
    spec.expectedMs = expectedSeconds * 1000;
    if (spec.workspace != caller.workspace && !caller.isOperator)
        reader.report("workspace", "is not that of the caller");
    if (!spec.dataCentre.empty() && !catalogue.dataCentres.contains(spec.dataCentre))
        reader.report("dataCentre", "is not in the catalogue");
    if (spec.acceleratorsPerWorker > 0 && spec.accelerators % spec.acceleratorsPerWorker != 0)
        reader.report("acceleratorsPerWorker", "must divide accelerators");
    return findings;
}

std::string jobTokenOf(
    const WorkspaceId& workspace, const std::string& idempotencyKey, const std::string& fallbackToken)
{
    if (idempotencyKey.empty())
        return fallbackToken;
    auto text = workspace.value + '\0' + idempotencyKey;
    return toHex(hash64(text, 1)) + toHex(hash64(text, 2));
}

std::vector<DataCentreId> rankDataCentres(
    const JobSpec& spec, const std::string& token, const CatalogueSnapshot& catalogue)
{
    std::vector<std::pair<double, DataCentreId>> ranked;
    for (const auto& [id, dataCentre] : catalogue.dataCentres) {
        int accelerators = 0;
        for (const auto& worker : dataCentre->workers)
            accelerators += worker.capacity.accelerators;
        if (accelerators < spec.accelerators)
            continue;
        // Weighted rendezvous hashing: each data centre gets a share of the tokens in proportion to its accelerators.
        constexpr double hashRange = 18446744073709551616.0;
        auto hash = hash64(token + '\0' + id.value);
        double uniform01 = (static_cast<double>(hash) + 1) / (hashRange + 2);
        ranked.emplace_back(std::log(uniform01) / accelerators, id);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<DataCentreId> ids;
    ids.reserve(ranked.size());
    for (auto& [score, id] : ranked)
        ids.push_back(std::move(id));
    return ids;
}

DataCentreId dataCentreOf(const JobId& id)
{
    auto dot = id.value.rfind('.');
    return dot == std::string::npos ? DataCentreId {} : DataCentreId { id.value.substr(0, dot) };
}

} // namespace agatevane::entry
