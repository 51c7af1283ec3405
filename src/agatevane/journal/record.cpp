#include "agatevane/journal/record.h"

#include "agatevane/json/reader.h"

namespace agatevane::journal {

namespace {

    using json::ObjectReader;
    using json::Presence;

    nlohmann::json specToJson(const JobSpec& spec)
    {
        return { { "id", spec.id.value }, { "workspace", spec.workspace.value }, { "caller", spec.caller.value },
            { "dataCentre", spec.dataCentre.value }, { "kind", spec.kind }, { "class", nameOf(spec.workClass) },
            { "accelerators", spec.accelerators }, { "acceleratorsPerWorker", spec.acceleratorsPerWorker },
            { "maxSpread", nameOf(spec.maxSpread) }, { "expectedMs", spec.expectedMs },
            { "canCheckpoint", spec.canCheckpoint }, { "canStop", spec.canStop }, { "payload", spec.payload },
            { "idempotencyKey", spec.idempotencyKey } };
    }

    void readSpec(const nlohmann::json& value, const std::string& place, JobSpec& spec, Findings& findings)
    {
        ObjectReader reader(value, place, findings);
        reader.read("id", spec.id);
        reader.read("workspace", spec.workspace);
        reader.read("caller", spec.caller);
        reader.read("dataCentre", spec.dataCentre);
        reader.read("kind", spec.kind);
        reader.read("class", spec.workClass);
        reader.read("accelerators", spec.accelerators);
        reader.read("acceleratorsPerWorker", spec.acceleratorsPerWorker);
        reader.read("maxSpread", spec.maxSpread);
        reader.read("expectedMs", spec.expectedMs);
        reader.read("canCheckpoint", spec.canCheckpoint);
        reader.read("canStop", spec.canStop);
        reader.read("payload", spec.payload, Presence::Required, maxBatchBytes);
        reader.read("idempotencyKey", spec.idempotencyKey);
    }

} // namespace

std::string encode(const Record& record)
{
    nlohmann::json value { { "kind", nameOf(record.kind) } };
    if (record.kind == RecordKind::Accepted)
        value["spec"] = specToJson(record.spec);
    else
        value["job"] = record.spec.id.value;
    if (!record.attempt.empty())
        value["attempt"] = record.attempt.value;
    if (!record.reason.empty())
        value["reason"] = record.reason;
    return json::dump(value);
}

std::string encodeBatch(const std::string& token, const std::vector<std::string>& records)
{
    auto text = "{\"token\":" + json::dump(token) + ",\"records\":[";
    for (std::size_t i = 0; i < records.size(); ++i)
        text += (i == 0 ? "" : ",") + records[i];
    return text + "]}";
}

std::optional<Batch> decodeBatch(const std::string& text)
{
    Findings findings;
    nlohmann::json value;
    if (!json::parse(text, "journal batch", value, findings))
        return std::nullopt;
    Batch batch;
    ObjectReader reader(value, "", findings);
    reader.read("token", batch.token);
    reader.readArray(
        "records",
        [&](const nlohmann::json& element, const std::string& place) {
            Record record;
            ObjectReader fields(element, place, findings);
            fields.read("kind", record.kind);
            if (const auto* spec = fields.member("spec"))
                readSpec(*spec, place + "/spec", record.spec, findings);
            else
                fields.read("job", record.spec.id);
            fields.read("attempt", record.attempt, Presence::Optional);
            fields.read("reason", record.reason, Presence::Optional);
            batch.records.push_back(std::move(record));
        },
        Presence::Required, 100000);
    if (!findings.empty())
        return std::nullopt;
    return batch;
}

JobState finalState(RecordKind kind)
{
    switch (kind) {
    case RecordKind::Finished:
        return JobState::Finished;
    case RecordKind::Cancelled:
        return JobState::Cancelled;
    case RecordKind::Failed:
        return JobState::Failed;
    case RecordKind::Impossible:
        return JobState::Impossible;
    case RecordKind::Accepted:
        break;
    }
    return JobState::Queued;
}

} // namespace agatevane::journal
