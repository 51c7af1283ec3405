#include "entry/settings.h"

#include <unistd.h>

namespace agatevane::entry {

namespace {

    void checkFile(const std::string& flag, const std::string& path, Findings& findings)
    {
        if (access(path.c_str(), R_OK) != 0)
            findings.push_back({ flag, "\"" + path + "\" cannot be read" });
    }

    MemberAddresses toMembers(
        const std::string& flag, const std::vector<settings::NamedAddress>& list, Findings& findings)
    {
        MemberAddresses members;
        for (const auto& item : list) {
            if (!members.emplace(MemberId { item.name }, item.address).second)
                findings.push_back({ flag, "\"" + item.name + "\" is given twice" });
        }
        return members;
    }

} // namespace

std::optional<int> readSettings(
    int argc, const char* const* argv, Settings& result, std::ostream& out, std::ostream& err)
{
    using json::Presence;
    settings::Settings reader("agatevane-entry", "Serves callers and operators over HTTP",
        "agatevane-entry --name vm1 --region harju --data-centre harju-1 --listen 10.0.0.1:8080 "
        "--store 10.0.9.1:2379 --scheduler vm1=10.0.0.1:7001,vm2=10.0.0.2:7001");
    std::vector<settings::NamedAddress> schedulers;
    std::vector<settings::NamedAddress> peers;
    http::Endpoint vmList;
    http::TlsFiles tls;
    reader.text("--name", result.name.value, "member id of this VM", Presence::Required, 64);
    reader.text("--region", result.region.value, "region of this VM", Presence::Required, 64);
    reader.text("--data-centre", result.dataCentre.value, "data centre of this VM", Presence::Required, 64);
    reader.address("--listen", result.listen, "address for callers");
    reader.address("--rpc-listen", result.rpcListen, "address for other entry VMs");
    reader.endpoints("--store", result.stores, "the platform's store", Presence::Required);
    reader.endpoint("--vm-list", vmList, "the platform's VM list");
    reader.namedAddresses("--scheduler", schedulers, "schedulers");
    reader.namedAddresses("--peer", peers, "other entry VMs");
    reader.text("--tls-certificate", tls.certificate, "PEM file of the certificate");
    reader.text("--tls-private-key", tls.privateKey, "PEM file of the private key");
    reader.integer("--threads", result.threads, 8, 2000, "requests in progress or waiting at the same time");
    reader.duration("--default-timeout-ms", result.defaultTimeout, Millis(10), Millis(300000),
        "timeout of requests whose caller sends no deadline");
    reader.duration("--report-interval-ms", result.reportInterval, Millis(50), Millis(2000),
        "time between two reports of a worker");
    reader.duration("--drain-wait-ms", result.drainWait, Millis(0), Millis(60000),
        "time to keep serving after SIGTERM, in which the load balancer notices /readyz");
    reader.check([&](Findings& findings) {
        result.schedulers = toMembers("--scheduler", schedulers, findings);
        result.peers = toMembers("--peer", peers, findings);
        if (tls.certificate.empty() != tls.privateKey.empty())
            findings.push_back({ tls.certificate.empty() ? "--tls-certificate" : "--tls-private-key", "missing" });
        if (tls.certificate.empty() || tls.privateKey.empty())
            return;
        checkFile("--tls-certificate", tls.certificate, findings);
        checkFile("--tls-private-key", tls.privateKey, findings);
        result.tls = tls;
    });
    auto exitCode = reader.parseOrPrint(argc, argv, out, err);
    if (reader.isGiven("--vm-list"))
        result.vmList = vmList;
    return exitCode;
}

} // namespace agatevane::entry
