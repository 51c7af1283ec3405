#include "agatevane/catalogue/catalogue.h"

#include <algorithm>
#include <set>

namespace agatevane {

namespace {

    template <typename T> std::string placeOf(EntryKind kind, const Id<T>& id, const std::string& field)
    {
        return pathOf({ kind, id.value }) + "/" + field;
    }

    //! The accelerators of the data centre that can be guaranteed: those that remain when the rack with the most
    //! accelerators fails.
    int guaranteeableAccelerators(const DataCentreEntry& dataCentre)
    {
        std::map<RackId, int> racks;
        int total = 0;
        for (const auto& worker : dataCentre.workers) {
            racks[worker.rack] += worker.capacity.accelerators;
            total += worker.capacity.accelerators;
        }
        int largest = 0;
        for (const auto& [rack, accelerators] : racks)
            largest = std::max(largest, accelerators);
        return total - largest;
    }

    void checkWorkspaces(const Catalogue& catalogue, Findings& findings)
    {
        std::map<DataCentreId, std::int64_t> guaranteed;
        double floors = 0;
        for (const auto& [id, workspace] : catalogue.workspaces) {
            floors += workspace->floorShare;
            for (std::size_t i = 0; i < workspace->guarantees.size(); ++i) {
                const auto& guarantee = workspace->guarantees[i];
                if (catalogue.dataCentres.contains(guarantee.dataCentre))
                    guaranteed[guarantee.dataCentre] += guarantee.accelerators;
                else
                    findings.push_back(
                        { placeOf(EntryKind::Workspace, id, "guarantees/" + std::to_string(i) + "/dataCentre"),
                            "data centre \"" + guarantee.dataCentre.value + "\" does not exist" });
            }
        }
        for (const auto& [id, sum] : guaranteed) {
            auto limit = guaranteeableAccelerators(*catalogue.dataCentres.at(id));
            if (sum > limit)
                findings.push_back({ placeOf(EntryKind::DataCentre, id, "workers"),
                    "guarantees of " + std::to_string(sum) + " accelerators exceed the " + std::to_string(limit)
                        + " that remain without the largest rack" });
        }
        // Rounding errors may raise a sum of decimal shares above 1.
        constexpr double tolerance = 1e-9;
        if (floors > 1 + tolerance)
            findings.push_back({ "workspaces/floorShare", "floors add up to " + std::to_string(floors) });
    }

    void checkCallers(const Catalogue& catalogue, Findings& findings)
    {
        std::map<std::string, CallerId> tokens;
        for (const auto& [id, caller] : catalogue.callers) {
            if (!catalogue.workspaces.contains(caller->workspace))
                findings.push_back({ placeOf(EntryKind::Caller, id, "workspace"),
                    "workspace \"" + caller->workspace.value + "\" does not exist" });
            auto [found, isNew] = tokens.emplace(caller->tokenDigest, id);
            if (!isNew)
                findings.push_back({ placeOf(EntryKind::Caller, id, "tokenDigest"),
                    "caller \"" + found->second.value + "\" has the same token" });
        }
    }

    void checkDataCentres(const Catalogue& catalogue, Findings& findings)
    {
        std::map<WorkerId, DataCentreId> workers;
        std::map<std::string, DataCentreId> addresses;
        for (const auto& [id, dataCentre] : catalogue.dataCentres) {
            for (std::size_t i = 0; i < dataCentre->workers.size(); ++i) {
                const auto& worker = dataCentre->workers[i];
                auto place = placeOf(EntryKind::DataCentre, id, "workers/" + std::to_string(i));
                auto [found, isNew] = workers.emplace(worker.id, id);
                if (!isNew)
                    findings.push_back({ place + "/id",
                        "worker \"" + worker.id.value + "\" is also in \"" + found->second.value + "\"" });
                auto [address, isNewAddress] = addresses.emplace(worker.address, id);
                if (!isNewAddress)
                    findings.push_back({ place + "/address",
                        "\"" + worker.address + "\" is also used in \"" + address->second.value + "\"" });
                if (!worker.service.empty() && !catalogue.services.contains(worker.service))
                    findings.push_back(
                        { place + "/service", "service \"" + worker.service.value + "\" does not exist" });
            }
        }
    }

    void checkLinks(const Catalogue& catalogue, Findings& findings)
    {
        std::set<RegionId> regions;
        for (const auto& [id, dataCentre] : catalogue.dataCentres)
            regions.insert(dataCentre->region);
        for (const auto& [id, link] : catalogue.links) {
            for (const auto& [field, region] : { std::pair("from", &link->from), std::pair("to", &link->to) }) {
                if (!regions.contains(*region))
                    findings.push_back({ pathOf({ EntryKind::Link, id }) + "/" + field,
                        "no data centre is in region \"" + region->value + "\"" });
            }
        }
    }

    template <typename T> auto makeShared(T entry)
    {
        return std::make_shared<const T>(std::move(entry));
    }

} // namespace

void insert(Catalogue& catalogue, Entry entry)
{
    auto name = keyOf(entry).name;
    if (auto* workspace = std::get_if<WorkspaceEntry>(&entry))
        catalogue.workspaces[{ name }] = makeShared(std::move(*workspace));
    else if (auto* caller = std::get_if<CallerEntry>(&entry))
        catalogue.callers[{ name }] = makeShared(std::move(*caller));
    else if (auto* service = std::get_if<ServiceEntry>(&entry))
        catalogue.services[{ name }] = makeShared(std::move(*service));
    else if (auto* dataCentre = std::get_if<DataCentreEntry>(&entry))
        catalogue.dataCentres[{ name }] = makeShared(std::move(*dataCentre));
    else if (auto* link = std::get_if<LinkEntry>(&entry))
        catalogue.links[name] = makeShared(std::move(*link));
    else if (auto* policy = std::get_if<PolicyEntry>(&entry))
        catalogue.policy = makeShared(std::move(*policy));
}

void erase(Catalogue& catalogue, const EntryKey& key)
{
    switch (key.kind) {
    case EntryKind::Workspace:
        catalogue.workspaces.erase({ key.name });
        break;
    case EntryKind::Caller:
        catalogue.callers.erase({ key.name });
        break;
    case EntryKind::Service:
        catalogue.services.erase({ key.name });
        break;
    case EntryKind::DataCentre:
        catalogue.dataCentres.erase({ key.name });
        break;
    case EntryKind::Link:
        catalogue.links.erase(key.name);
        break;
    case EntryKind::Policy:
        catalogue.policy = std::make_shared<const PolicyEntry>();
        break;
    }
}

Findings validate(const Catalogue& catalogue)
{
    Findings findings;
    checkWorkspaces(catalogue, findings);
    checkCallers(catalogue, findings);
    checkDataCentres(catalogue, findings);
    checkLinks(catalogue, findings);
    return findings;
}

Findings newFindings(const Catalogue& before, const Catalogue& after)
{
    auto earlierFindings = validate(before);
    auto findings = validate(after);
    std::erase_if(findings, [&earlierFindings](const Finding& finding) {
        return std::find(earlierFindings.begin(), earlierFindings.end(), finding) != earlierFindings.end();
    });
    return findings;
}

} // namespace agatevane
