#include "agatevane/catalogue/codec.h"

#include "agatevane/base/token.h"
#include "agatevane/json/reader.h"
#include <algorithm>
#include <set>

namespace agatevane {

namespace {

    using json::ObjectReader;
    using json::Presence;

    constexpr std::size_t maxNameLength = 128;
    constexpr double maxRequestsPerSecond = 1e9;
    constexpr std::int64_t maxMillis = 86'400'000;
    constexpr int maxAccelerators = 10'000'000;

    //! Whether `text` is a valid name. Names are part of store keys and URLs, so only some characters are allowed.
    bool isName(const std::string& text)
    {
        auto isAllowed = [](unsigned char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
                || c == '.';
        };
        return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isAllowed);
    }

    void readName(ObjectReader& reader, const char* field, std::string& target, Presence presence = Presence::Required)
    {
        if (!reader.member(field) && presence == Presence::Optional)
            return;
        reader.read(field, target, presence);
        bool isEmptyAllowed = presence == Presence::Optional;
        if (reader.member(field) && !isName(target) && !(target.empty() && isEmptyAllowed))
            reader.report(field, "must be 1 to 128 letters, digits, '-', '_' or '.'");
    }

    template <typename Tag>
    void readName(ObjectReader& reader, const char* field, Id<Tag>& target, Presence presence = Presence::Required)
    {
        readName(reader, field, target.value, presence);
    }

    void readFields(ObjectReader& reader, WorkspaceEntry& entry, Findings& findings)
    {
        reader.read("weight", entry.weight, Presence::Optional, 0.01, 1000.0);
        reader.read("quotaAccelerators", entry.quotaAccelerators, Presence::Optional, 0, maxAccelerators);
        reader.read("requestsPerSecond", entry.requestsPerSecond, Presence::Optional, 0.0, maxRequestsPerSecond);
        reader.read("floorShare", entry.floorShare, Presence::Optional, 0.0, 1.0);
        std::set<DataCentreId> seen;
        auto readGuarantee = [&](const nlohmann::json& value, const std::string& place) {
            Guarantee guarantee;
            ObjectReader element(value, place, findings);
            readName(element, "dataCentre", guarantee.dataCentre);
            element.read("accelerators", guarantee.accelerators, Presence::Required, 0, maxAccelerators);
            element.finish();
            if (!seen.insert(guarantee.dataCentre).second)
                findings.push_back({ place + "/dataCentre", "listed twice" });
            if (entry.quotaAccelerators > 0 && guarantee.accelerators > entry.quotaAccelerators)
                findings.push_back({ place + "/accelerators", "above the workspace's quota" });
            entry.guarantees.push_back(std::move(guarantee));
        };
        reader.readArray("guarantees", readGuarantee, Presence::Optional, 100);
    }

    void readFields(ObjectReader& reader, CallerEntry& entry, Findings&)
    {
        readName(reader, "workspace", entry.workspace);
        reader.read("tokenDigest", entry.tokenDigest, Presence::Required, tokenDigestDigits);
        auto isHex = [](unsigned char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
        if (entry.tokenDigest.size() != tokenDigestDigits
            || !std::all_of(entry.tokenDigest.begin(), entry.tokenDigest.end(), isHex))
            reader.report("tokenDigest", "must be the 64 lower-case hexadecimal digits of the token's SHA-256");
        reader.read("highestClass", entry.highestClass, Presence::Optional);
        reader.read("requestsPerSecond", entry.requestsPerSecond, Presence::Optional, 0.0, maxRequestsPerSecond);
        reader.read("isOperator", entry.isOperator, Presence::Optional);
    }

    void readFields(ObjectReader& reader, ServiceEntry& entry, Findings& findings)
    {
        if (const auto* floors = reader.member("classFloors")) {
            ObjectReader element(*floors, "/classFloors", findings);
            double sum = 0;
            for (const auto& [workClass, name] : EnumNames<WorkClass>::table) {
                auto& floor = entry.classFloors.at(static_cast<std::size_t>(workClass));
                element.read(std::string(name).c_str(), floor, Presence::Optional, 0.0, 1.0);
                sum += floor;
            }
            element.finish();
            if (sum > 1)
                reader.report("classFloors", "add up to more than 1");
        }
        reader.read("maxQueued", entry.maxQueued, Presence::Optional, 0, 1'000'000);
        reader.read("maxQueuedMs", entry.maxQueuedMs, Presence::Optional, 0, maxMillis);
        reader.read("requestsPerSecond", entry.requestsPerSecond, Presence::Optional, 0.0, maxRequestsPerSecond);
    }

    WorkerEntry readWorker(const nlohmann::json& value, const std::string& place, Findings& findings)
    {
        WorkerEntry worker;
        ObjectReader reader(value, place, findings);
        readName(reader, "id", worker.id);
        readName(reader, "rack", worker.rack);
        reader.read("address", worker.address, Presence::Required, 256);
        if (worker.address.find(':') == std::string::npos)
            reader.report("address", "must be \"ip:port\"");
        readName(reader, "service", worker.service, Presence::Optional);
        reader.read("slots", worker.slots, Presence::Optional, 0, 65536);
        reader.read("connections", worker.connections, Presence::Optional, 0, 65536);
        if (const auto* capacity = reader.member("capacity")) {
            ObjectReader element(*capacity, place + "/capacity", findings);
            element.read("accelerators", worker.capacity.accelerators, Presence::Required, 0, 1024);
            element.read("cores", worker.capacity.cores, Presence::Optional, 0);
            element.read("memoryMiB", worker.capacity.memoryMiB, Presence::Optional, 0);
            element.finish();
        } else {
            reader.report("capacity", "missing");
        }
        reader.finish();
        return worker;
    }

    void readFields(ObjectReader& reader, DataCentreEntry& entry, Findings& findings)
    {
        readName(reader, "region", entry.region);
        std::set<WorkerId> ids;
        std::set<std::string> addresses;
        auto readWorkerElement = [&](const nlohmann::json& value, const std::string& place) {
            auto worker = readWorker(value, place, findings);
            if (!ids.insert(worker.id).second)
                findings.push_back({ place + "/id", "\"" + worker.id.value + "\" is used twice" });
            if (!addresses.insert(worker.address).second)
                findings.push_back({ place + "/address", "\"" + worker.address + "\" is used twice" });
            entry.workers.push_back(std::move(worker));
        };
        reader.readArray("workers", readWorkerElement, Presence::Optional);
    }

    void readFields(ObjectReader& reader, LinkEntry& entry, Findings&)
    {
        readName(reader, "from", entry.from);
        readName(reader, "to", entry.to);
        reader.read("oneWayMs", entry.oneWayMs, Presence::Required, 0.0, 60000.0);
        reader.read("billingMsPerRequest", entry.billingMsPerRequest, Presence::Optional, 0.0, 60000.0);
    }

    void readFields(ObjectReader& reader, PolicyEntry& entry, Findings&)
    {
        reader.read("reclaimDeadlineMs", entry.reclaimDeadlineMs, Presence::Optional, 100, maxMillis);
        reader.read("urgentReclaimDeadlineMs", entry.urgentReclaimDeadlineMs, Presence::Optional, 100, maxMillis);
        reader.read("reservationAfterMs", entry.reservationAfterMs, Presence::Optional, 0, maxMillis);
        reader.read("fairnessWeight", entry.fairnessWeight, Presence::Optional, 0.0, 1.0);
        reader.read("defragment", entry.defragment, Presence::Optional);
        reader.read("classFloor", entry.classFloor, Presence::Optional, 0.0, 0.3);
        reader.read("shareClaimAfterMs", entry.shareClaimAfterMs, Presence::Optional, 0, maxMillis);
        reader.read("starvedAfterMs", entry.starvedAfterMs, Presence::Optional, 0, maxMillis);
        reader.read("headroom", entry.headroom, Presence::Optional, 0.0, 0.5);
        reader.read("reserveByShare", entry.reserveByShare, Presence::Optional);
        if (entry.id != "default")
            reader.report("id", "the only policy is \"default\"");
    }

    template <typename T> void readEntry(const nlohmann::json& value, Entry& result, Findings& findings)
    {
        T entry;
        ObjectReader reader(value, "", findings);
        readName(reader, "id", entry.id);
        reader.read("owner", entry.owner, Presence::Optional, maxNameLength);
        readFields(reader, entry, findings);
        reader.finish();
        result = std::move(entry);
    }

    nlohmann::json fieldsOf(const WorkspaceEntry& entry)
    {
        auto guarantees = nlohmann::json::array();
        for (const auto& each : entry.guarantees)
            guarantees.push_back({ { "dataCentre", each.dataCentre.value }, { "accelerators", each.accelerators } });
        return { { "id", entry.id.value }, { "weight", entry.weight }, { "guarantees", std::move(guarantees) },
            { "quotaAccelerators", entry.quotaAccelerators }, { "requestsPerSecond", entry.requestsPerSecond },
            { "floorShare", entry.floorShare } };
    }

    nlohmann::json fieldsOf(const CallerEntry& entry)
    {
        return { { "id", entry.id.value }, { "workspace", entry.workspace.value }, { "tokenDigest", entry.tokenDigest },
            { "highestClass", nameOf(entry.highestClass) }, { "requestsPerSecond", entry.requestsPerSecond },
            { "isOperator", entry.isOperator } };
    }

    nlohmann::json fieldsOf(const ServiceEntry& entry)
    {
        auto floors = nlohmann::json::object();
        for (const auto& [workClass, name] : EnumNames<WorkClass>::table)
            floors[std::string(name)] = entry.classFloors.at(static_cast<std::size_t>(workClass));
        return { { "id", entry.id.value }, { "classFloors", std::move(floors) }, { "maxQueued", entry.maxQueued },
            { "maxQueuedMs", entry.maxQueuedMs }, { "requestsPerSecond", entry.requestsPerSecond } };
    }

    nlohmann::json fieldsOf(const DataCentreEntry& entry)
    {
        auto workers = nlohmann::json::array();
        for (const auto& worker : entry.workers) {
            workers.push_back({ { "id", worker.id.value }, { "rack", worker.rack.value }, { "address", worker.address },
                { "service", worker.service.value }, { "slots", worker.slots }, { "connections", worker.connections },
                { "capacity",
                    { { "accelerators", worker.capacity.accelerators }, { "cores", worker.capacity.cores },
                        { "memoryMiB", worker.capacity.memoryMiB } } } });
        }
        return { { "id", entry.id.value }, { "region", entry.region.value }, { "workers", std::move(workers) } };
    }

    nlohmann::json fieldsOf(const LinkEntry& entry)
    {
        return { { "id", entry.id }, { "from", entry.from.value }, { "to", entry.to.value },
            { "oneWayMs", entry.oneWayMs }, { "billingMsPerRequest", entry.billingMsPerRequest } };
    }

    nlohmann::json fieldsOf(const PolicyEntry& entry)
    {
        return { { "id", entry.id }, { "reclaimDeadlineMs", entry.reclaimDeadlineMs },
            { "urgentReclaimDeadlineMs", entry.urgentReclaimDeadlineMs },
            { "reservationAfterMs", entry.reservationAfterMs }, { "fairnessWeight", entry.fairnessWeight },
            { "defragment", entry.defragment }, { "classFloor", entry.classFloor },
            { "shareClaimAfterMs", entry.shareClaimAfterMs }, { "starvedAfterMs", entry.starvedAfterMs },
            { "headroom", entry.headroom }, { "reserveByShare", entry.reserveByShare } };
    }

} // namespace

nlohmann::json toJson(const Entry& entry)
{
    return std::visit(
        [](const auto& each) {
            auto json = fieldsOf(each);
            json["owner"] = each.owner;
            return json;
        },
        entry);
}

std::string encodeEntry(const Entry& entry)
{
    return json::dump(toJson(entry));
}

Findings decodeEntry(EntryKind kind, const std::string& text, Entry& entry)
{
    Findings findings;
    nlohmann::json value;
    if (text.size() > maxEntryBytes)
        return { { "body", "longer than " + std::to_string(maxEntryBytes) + " bytes" } };
    if (!json::parse(text, "body", value, findings))
        return findings;
    switch (kind) {
    case EntryKind::Workspace:
        readEntry<WorkspaceEntry>(value, entry, findings);
        break;
    case EntryKind::Caller:
        readEntry<CallerEntry>(value, entry, findings);
        break;
    case EntryKind::Service:
        readEntry<ServiceEntry>(value, entry, findings);
        break;
    case EntryKind::DataCentre:
        readEntry<DataCentreEntry>(value, entry, findings);
        break;
    case EntryKind::Link:
        readEntry<LinkEntry>(value, entry, findings);
        break;
    case EntryKind::Policy:
        readEntry<PolicyEntry>(value, entry, findings);
        break;
    }
    return findings;
}

} // namespace agatevane
