#include "scheduler/scheduler_settings.h"

namespace agatevane::scheduler {

std::optional<int> readSettings(
    int argc, const char* const* argv, SchedulerSettings& result, std::ostream& out, std::ostream& err)
{
    settings::Settings settings("agatevane-scheduler", "Owns data centres: places jobs, runs gangs, keeps guarantees",
        "agatevane-scheduler --name vm1 --region harju --data-centre harju-1 --rpc-listen 127.0.0.1:7001 "
        "--http-listen 127.0.0.1:7101 --store 127.0.0.1:2379 --peer vm2=127.0.0.1:7002");
    using settings::Presence;
    settings.text("--name", result.name, "name of this VM", Presence::Required, 256);
    settings.text("--region", result.region, "region of this VM", Presence::Required, 256);
    settings.text("--data-centre", result.dataCentre, "data centre of this VM", Presence::Optional, 256);
    settings.address("--rpc-listen", result.listen, "address for other processes, TCP and UDP", Presence::Required);
    settings.address("--http-listen", result.httpListen, "address for health, metrics and timeline");
    settings.endpoints("--store", result.stores, "endpoints of the store", Presence::Required);
    settings.namedAddresses("--peer", result.peers, "the other schedulers");
    settings.custom("--data-centres",
        "data centres that this scheduler may own, separated by commas; empty: all in the catalogue", "",
        [&](const std::string& value) {
            result.dataCentres = settings::splitList(value);
            return std::string();
        });
    settings.endpoint("--vm-list", result.vmList, "endpoint of the platform's list of VMs");
    settings.integer("--worker-threads", result.workerThreads, 1, 512, "number of simultaneous calls to workers");
    settings.integer("--store-threads", result.storeThreads, 1, 64, "number of simultaneous calls to the store");
    settings.duration("--worker-timeout-ms", result.workerTimeout, Millis { 50 }, Millis { 2000 },
        "longest wait for a worker's answer");
    settings.duration("--store-timeout-ms", result.storeTimeout, Millis { 50 }, Millis { 2000 },
        "longest wait for the store's answer");
    settings.check([&](Findings& findings) {
        for (const auto& peer : result.peers) {
            if (peer.name == result.name)
                findings.push_back({ "--peer", "\"" + peer.name + "\" is this scheduler's own name" });
        }
        if (result.listen.port == 0)
            findings.push_back({ "--rpc-listen", "needs a port, since the other schedulers have to know it" });
    });
    return settings.parseOrPrint(argc, argv, out, err);
}

} // namespace agatevane::scheduler
