#include "agatevane/worker_api/worker_api.h"

#include "agatevane/json/reader.h"

namespace agatevane {

namespace {

    using json::ObjectReader;
    using json::Presence;

    constexpr int maxGangSize = 128;
    constexpr std::size_t maxTasksPerWorker = 4096;

    TaskReport decodeTask(const nlohmann::json& value, const std::string& place, Findings& findings)
    {
        TaskReport task;
        ObjectReader reader(value, place, findings);
        reader.read("job", task.job);
        reader.read("attempt", task.attempt);
        reader.read("epoch", task.epoch);
        reader.read("state", task.state);
        reader.read("accelerators", task.accelerators, Presence::Required, 0, maxGangSize);
        reader.read("part", task.part, Presence::Required, 0, maxGangSize - 1);
        reader.read("parts", task.parts, Presence::Required, 1, maxGangSize);
        reader.read("progressMs", task.progressMs);
        reader.read("checkpointedMs", task.checkpointedMs);
        reader.read("leaseUntilClockMs", task.leaseUntilClockMs);
        return task;
    }

    void decodeCapacity(const nlohmann::json& value, const std::string& place, Resources& capacity, Findings& findings)
    {
        ObjectReader reader(value, place, findings);
        reader.read("accelerators", capacity.accelerators, Presence::Required, 0, 1024);
        reader.read("cores", capacity.cores, Presence::Required, 0);
        reader.read("memoryMiB", capacity.memoryMiB, Presence::Required, 0);
    }

    //! Parses `text` and reads the object with `readFields`. Unknown fields are accepted, since the platform may add
    //! some.
    template <typename Function> Findings decodeObject(const std::string& text, Function readFields)
    {
        Findings findings;
        nlohmann::json value;
        if (!json::parse(text, "body", value, findings))
            return findings;
        ObjectReader reader(value, "", findings);
        readFields(reader, findings);
        return findings;
    }

} // namespace

void to_json(nlohmann::json& json, const TaskReport& report)
{
    json = { { "job", report.job.value }, { "attempt", report.attempt.value }, { "epoch", report.epoch },
        { "state", nameOf(report.state) }, { "accelerators", report.accelerators }, { "part", report.part },
        { "parts", report.parts }, { "progressMs", report.progressMs }, { "checkpointedMs", report.checkpointedMs },
        { "leaseUntilClockMs", report.leaseUntilClockMs } };
}

void to_json(nlohmann::json& json, const WorkerReport& report)
{
    json = { { "worker", report.worker.value }, { "instance", report.instance }, { "clockMs", report.clockMs },
        { "epoch", report.epoch }, { "leaving", report.leaving }, { "slots", report.slots },
        { "slotsUsed", report.slotsUsed }, { "connections", report.connections },
        { "connectionsUsed", report.connectionsUsed },
        { "capacity",
            { { "accelerators", report.capacity.accelerators }, { "cores", report.capacity.cores },
                { "memoryMiB", report.capacity.memoryMiB } } },
        { "rack", report.rack.value }, { "dataCentre", report.dataCentre.value }, { "tasks", report.tasks } };
}

void to_json(nlohmann::json& json, const PrepareCommand& command)
{
    json = { { "job", command.job.value }, { "attempt", command.attempt.value }, { "epoch", command.epoch },
        { "accelerators", command.accelerators }, { "part", command.part }, { "parts", command.parts },
        { "reserveUntilClockMs", command.reserveUntilClockMs } };
}

void to_json(nlohmann::json& json, const StartCommand& command)
{
    json = { { "attempt", command.attempt.value }, { "epoch", command.epoch },
        { "leaseUntilClockMs", command.leaseUntilClockMs }, { "durationMs", command.durationMs },
        { "restoredMs", command.restoredMs }, { "canCheckpoint", command.canCheckpoint },
        { "payload", command.payload } };
}

void to_json(nlohmann::json& json, const RenewCommand& command)
{
    json = { { "epoch", command.epoch }, { "untilClockMs", command.untilClockMs },
        { "attempts", nlohmann::json::array() } };
    for (const auto& attempt : command.attempts)
        json["attempts"].push_back(attempt.value);
}

void to_json(nlohmann::json& json, const AttemptCommand& command)
{
    json = { { "attempt", command.attempt.value }, { "epoch", command.epoch },
        { "throttlePercent", command.throttlePercent } };
}

Findings decode(const std::string& text, WorkerReport& result)
{
    return decodeObject(text, [&](ObjectReader& reader, Findings& findings) {
        reader.read("worker", result.worker);
        reader.read("instance", result.instance);
        reader.read("clockMs", result.clockMs);
        reader.read("epoch", result.epoch);
        reader.read("leaving", result.leaving);
        reader.read("slots", result.slots, Presence::Required, 0, 65536);
        reader.read("slotsUsed", result.slotsUsed, Presence::Required, 0, 65536);
        reader.read("connections", result.connections, Presence::Required, 0, 65536);
        reader.read("connectionsUsed", result.connectionsUsed, Presence::Required, 0, 65536);
        reader.read("rack", result.rack);
        reader.read("dataCentre", result.dataCentre);
        if (const auto* capacity = reader.member("capacity"))
            decodeCapacity(*capacity, "/capacity", result.capacity, findings);
        else
            reader.report("capacity", "missing");
        reader.readArray(
            "tasks",
            [&](const nlohmann::json& task, const std::string& place) {
                result.tasks.push_back(decodeTask(task, place, findings));
            },
            Presence::Required, maxTasksPerWorker);
    });
}

Findings decode(const std::string& text, PrepareCommand& result)
{
    return decodeObject(text, [&](ObjectReader& reader, Findings&) {
        reader.read("job", result.job);
        reader.read("attempt", result.attempt);
        reader.read("epoch", result.epoch);
        reader.read("accelerators", result.accelerators, Presence::Required, 0, maxGangSize);
        reader.read("part", result.part, Presence::Required, 0, maxGangSize - 1);
        reader.read("parts", result.parts, Presence::Required, 1, maxGangSize);
        reader.read("reserveUntilClockMs", result.reserveUntilClockMs);
    });
}

Findings decode(const std::string& text, StartCommand& result)
{
    return decodeObject(text, [&](ObjectReader& reader, Findings&) {
        reader.read("attempt", result.attempt);
        reader.read("epoch", result.epoch);
        reader.read("leaseUntilClockMs", result.leaseUntilClockMs);
        reader.read("durationMs", result.durationMs, Presence::Required, 0);
        reader.read("restoredMs", result.restoredMs, Presence::Required, 0);
        reader.read("canCheckpoint", result.canCheckpoint);
        reader.read("payload", result.payload);
    });
}

Findings decode(const std::string& text, RenewCommand& result)
{
    return decodeObject(text, [&](ObjectReader& reader, Findings& findings) {
        reader.read("epoch", result.epoch);
        reader.read("untilClockMs", result.untilClockMs);
        reader.readArray(
            "attempts",
            [&](const nlohmann::json& attempt, const std::string& place) {
                if (attempt.is_string())
                    result.attempts.push_back({ attempt.get<std::string>() });
                else
                    findings.push_back({ place, "must be a string" });
            },
            Presence::Required, maxTasksPerWorker);
    });
}

Findings decode(const std::string& text, AttemptCommand& result)
{
    return decodeObject(text, [&](ObjectReader& reader, Findings&) {
        reader.read("attempt", result.attempt);
        reader.read("epoch", result.epoch);
        reader.read("throttlePercent", result.throttlePercent, Presence::Optional, 0, 100);
    });
}

} // namespace agatevane
