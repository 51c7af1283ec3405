#include "cluster.h"

#include "agatevane/base/token.h"
#include "agatevane/store/client.h"
#include <stdexcept>

namespace agatevane::test {

namespace {

    using nlohmann::json;

    constexpr Millis startTimeout { 30000 };
    constexpr Millis controlTimeout { 5000 };

    http::Endpoint loopback(int port)
    {
        return { "127.0.0.1", port, false, {} };
    }

    std::string loopbackAddress(int port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    http::ClientResult sendRequest(
        int port, const std::string& method, const std::string& path, const std::string& body = "")
    {
        http::Client client(loopback(port));
        return client.request(method, path, body, now() + controlTimeout);
    }

    //! Parses the answer of a control path; throws if the request failed or its status is not 200.
    json readJson(const http::ClientResult& answer)
    {
        if (answer.error || answer.status != 200)
            throw std::runtime_error("request to a control path failed: " + answer.error.message());
        return json::parse(answer.body);
    }

    std::string join(const std::vector<std::string>& parts)
    {
        std::string text;
        for (const auto& part : parts)
            text += (text.empty() ? "" : ",") + part;
        return text;
    }

    void append(std::vector<std::string>& to, const std::vector<std::string>& more)
    {
        to.insert(to.end(), more.begin(), more.end());
    }

} // namespace

Cluster::Cluster(const ClusterOptions& options)
    : options_(options)
{
    startPlatform();
    writeCatalogue();
    for (const auto& region : options_.regions) {
        for (int i = 0; i < options_.vmsPerRegion; ++i) {
            Vm vm;
            vm.name = region + "-vm" + std::to_string(i);
            vm.region = region;
            vm.entryPort = freePort();
            vm.entryRpcPort = freePort();
            vm.schedulerRpcPort = freePort();
            vm.schedulerHttpPort = freePort();
            vms_.push_back(std::move(vm));
        }
    }
    json list = json::array();
    for (const auto& vm : vms_)
        list.push_back(
            { { "name", vm.name }, { "dataCentre", vm.region }, { "address", "127.0.0.1" }, { "state", "live" } });
    setVmList(list);
    for (auto& vm : vms_) {
        startScheduler(vm);
        startEntry(vm);
    }
    waitUntilReady();
}

void Cluster::startPlatform()
{
    storePort_ = freePort();
    storeControlPort_ = freePort();
    std::vector<std::string> arguments { "--port", std::to_string(storePort_), "--control-port",
        std::to_string(storeControlPort_) };
    append(arguments, options_.storeArguments);
    store_ = std::make_unique<Process>("standin-store", arguments);
    vmListPort_ = freePort();
    vmListControlPort_ = freePort();
    vmList_ = std::make_unique<Process>("standin-vmlist",
        std::vector<std::string> { "--port", std::to_string(vmListPort_), "--control-port",
            std::to_string(vmListControlPort_), "--lag-ms", "200" });
    for (const auto& region : options_.regions) {
        workerControlPort_[region] = freePort();
        workers_[region] = std::make_unique<Process>("standin-worker",
            std::vector<std::string> { "--data-centre", region, "--count",
                std::to_string(options_.workersPerDataCentre), "--rack-size", std::to_string(options_.rackSize),
                "--control-port", std::to_string(workerControlPort_[region]), "--accelerators",
                std::to_string(options_.acceleratorsPerWorker), "--threads", "16", "--checkpoint-ms",
                std::to_string(options_.taskCheckpointMs) });
    }
    bool isUp = waitFor(
        [&] {
            if (sendRequest(storeControlPort_, "GET", "/control/counters").status != 200)
                return false;
            for (const auto& region : options_.regions) {
                if (sendRequest(workerControlPort_[region], "GET", "/control/workers").status != 200)
                    return false;
            }
            return sendRequest(vmListPort_, "GET", "/v1/vms").status == 200;
        },
        startTimeout);
    if (!isUp)
        throw std::runtime_error("the stand-ins did not start within 30 s: " + outputs());
}

void Cluster::writeCatalogue()
{
    store::Client client({ loopback(storePort_) });
    auto put = [&](const std::string& kind, const std::string& name, const json& entry) {
        auto result = client.put(
            { .key = "/agatevane/catalogue/" + kind + "/" + name, .value = entry.dump() }, now() + controlTimeout);
        if (!result.ok())
            throw std::runtime_error("cannot write the catalogue to the store: " + result.error.message());
    };
    put("services", "visitdesk", { { "id", "visitdesk" }, { "owner", "operations" } });
    put("policies", "default", { { "id", "default" }, { "owner", "operations" } });
    json guarantees = json::array();
    for (const auto& region : options_.regions)
        guarantees.push_back({ { "dataCentre", region }, { "accelerators", options_.acceleratorsPerWorker } });
    put("workspaces", "installers",
        { { "id", "installers" }, { "owner", "installers" }, { "guarantees", guarantees } });
    put("workspaces", "grants", { { "id", "grants" }, { "owner", "grants" } });
    put("callers", "op",
        { { "id", "op" }, { "workspace", "grants" }, { "owner", "operations" },
            { "tokenDigest", tokenDigestOf(operatorToken) }, { "isOperator", true } });
    put("callers", "installer",
        { { "id", "installer" }, { "workspace", "installers" }, { "owner", "installers" },
            { "tokenDigest", tokenDigestOf(callerToken) } });
    for (const auto& region : options_.regions) {
        auto described = readJson(sendRequest(workerControlPort_[region], "GET", "/control/workers"));
        json workers = json::array();
        for (const auto& worker : described.at("workers")) {
            workers.push_back(
                { { "id", worker.at("id") }, { "rack", worker.at("rack") }, { "address", worker.at("address") },
                    { "service", "visitdesk" }, { "capacity", worker.at("capacity") } });
        }
        put("data_centres", region,
            { { "id", region }, { "region", region }, { "owner", "operations" }, { "workers", workers } });
    }
}

void Cluster::startEntry(Vm& vm)
{
    std::vector<std::string> arguments { "--name", vm.name, "--region", vm.region, "--data-centre", vm.region,
        "--listen", loopbackAddress(vm.entryPort), "--rpc-listen", loopbackAddress(vm.entryRpcPort), "--store",
        loopbackAddress(storePort_), "--vm-list", loopbackAddress(vmListPort_), "--drain-wait-ms", "200" };
    std::vector<std::string> schedulers;
    std::vector<std::string> peers;
    for (const auto& other : vms_) {
        schedulers.push_back(other.name + "=" + loopbackAddress(other.schedulerRpcPort));
        if (other.name != vm.name)
            peers.push_back(other.name + "=" + loopbackAddress(other.entryRpcPort));
    }
    append(arguments, { "--scheduler", join(schedulers), "--peer", join(peers) });
    append(arguments, options_.entryArguments);
    vm.entry = std::make_unique<Process>("agatevane-entry", arguments);
}

void Cluster::startScheduler(Vm& vm)
{
    std::vector<std::string> arguments { "--name", vm.name, "--region", vm.region, "--data-centre", vm.region,
        "--rpc-listen", loopbackAddress(vm.schedulerRpcPort), "--http-listen", loopbackAddress(vm.schedulerHttpPort),
        "--store", loopbackAddress(storePort_), "--vm-list", loopbackAddress(vmListPort_) };
    std::vector<std::string> peers;
    for (const auto& other : vms_) {
        if (other.name != vm.name)
            peers.push_back(other.name + "=" + loopbackAddress(other.schedulerRpcPort));
    }
    append(arguments, { "--peer", join(peers) });
    append(arguments, options_.schedulerArguments);
    vm.scheduler = std::make_unique<Process>("agatevane-scheduler", arguments);
}

void Cluster::waitUntilReady()
{
    bool isReady = waitFor(
        [&] {
            for (const auto& vm : vms_) {
                if (sendRequest(vm.entryPort, "GET", "/readyz").status != 200)
                    return false;
            }
            for (const auto& region : options_.regions) {
                if (ownerOf(region) < 0)
                    return false;
            }
            return true;
        },
        startTimeout);
    if (!isReady)
        throw std::runtime_error("the deployment is not ready after 30 s: " + outputs());
}

Vm& Cluster::firstVmIn(const std::string& region)
{
    for (auto& vm : vms_) {
        if (vm.region == region)
            return vm;
    }
    throw std::runtime_error("no VM in region " + region);
}

http::ClientResult Cluster::request(const Vm& vm, const std::string& method, const std::string& path,
    const std::string& body, const http::Headers& headers, const std::string& token, Millis timeout)
{
    http::Client client(loopback(vm.entryPort));
    auto all = headers;
    if (!token.empty())
        all.emplace("Authorization", "Bearer " + token);
    return client.request(method, path, body, now() + timeout, all);
}

http::ClientResult Cluster::storeControl(const json& faults)
{
    return sendRequest(storeControlPort_, "POST", "/control/faults", faults.dump());
}

json Cluster::storeCounters()
{
    return readJson(sendRequest(storeControlPort_, "GET", "/control/counters"));
}

void Cluster::workerControl(
    const std::string& dataCentre, const std::string& worker, const std::string& action, const json& body)
{
    readJson(
        sendRequest(workerControlPort(dataCentre), "POST", "/control/workers/" + worker + "/" + action, body.dump()));
}

json Cluster::workerLog(const std::string& name, const std::string& dataCentre)
{
    json all = json::array();
    for (const auto& [region, port] : workerControlPort_) {
        if (!dataCentre.empty() && region != dataCentre)
            continue;
        for (auto& line : readJson(sendRequest(port, "GET", "/control/" + name)))
            all.push_back(line);
    }
    return all;
}

void Cluster::setVmList(const json& vms)
{
    readJson(sendRequest(vmListControlPort_, "PUT", "/control/vms", vms.dump()));
}

int Cluster::workerControlPort(const std::string& dataCentre) const
{
    return workerControlPort_.at(dataCentre);
}

int Cluster::ownerOf(const std::string& dataCentre)
{
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        auto& vm = vms_[i];
        if (!vm.scheduler || !vm.scheduler->isRunning())
            continue;
        auto status = shardStatus(vm, dataCentre);
        if (status.status == JobReplyStatus::Found && status.owner.value == vm.name)
            return static_cast<int>(i);
    }
    return -1;
}

ShardStatusReply Cluster::shardStatus(const Vm& vm, const std::string& dataCentre)
{
    net::RpcClient client(loop_.context, { "127.0.0.1", vm.schedulerRpcPort });
    ShardStatusReply status;
    std::string reply;
    auto error = client.callAndWait(static_cast<std::uint16_t>(MessageKind::ShardStatus),
        net::encode(ShardStatusRequest { { dataCentre } }), now() + Millis(300), reply);
    if (!error)
        net::decode(reply, status);
    return status;
}

std::string Cluster::submitJob(const Vm& vm, const json& spec, http::ClientResult* answer)
{
    auto result = request(vm, "POST", "/v1/jobs", spec.dump());
    if (answer)
        *answer = result;
    return !result.error && result.status == 202 ? json::parse(result.body).at("id").get<std::string>() : std::string();
}

std::string Cluster::jobState(const Vm& vm, const std::string& id)
{
    auto result = request(vm, "GET", "/v1/jobs/" + id, "", {}, callerToken, Millis(3000));
    if (result.error || result.status != 200)
        return "";
    return json::parse(result.body).at("state").get<std::string>();
}

bool Cluster::waitForJob(const Vm& vm, const std::string& id, const std::string& state, Millis limit)
{
    return waitFor([&] { return jobState(vm, id) == state; }, limit);
}

std::string Cluster::outputs() const
{
    std::string text;
    auto add = [&](const std::string& name, const std::unique_ptr<Process>& process) {
        if (!process)
            return;
        auto output = process->output();
        constexpr std::size_t maxLength = 1500;
        text
            += "\n--- " + name + "\n" + (output.size() > maxLength ? output.substr(output.size() - maxLength) : output);
    };
    add("store", store_);
    add("vm list", vmList_);
    for (const auto& [region, process] : workers_)
        add("workers of " + region, process);
    for (const auto& vm : vms_) {
        add("entry of " + vm.name, vm.entry);
        add("scheduler of " + vm.name, vm.scheduler);
    }
    return text;
}

} // namespace agatevane::test
