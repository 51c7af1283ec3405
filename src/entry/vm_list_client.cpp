#include "entry/vm_list_client.h"

#include "agatevane/json/reader.h"

namespace agatevane::entry {

namespace {

    constexpr Millis pollInterval { 1000 };
    constexpr Millis pollTimeout { 1000 };
    constexpr std::size_t maxVms = 100000;

} // namespace

Findings decodeVmList(const std::string& text, std::vector<ListedVm>& vms)
{
    Findings findings;
    nlohmann::json value;
    if (!json::parse(text, "body", value, findings))
        return findings;
    if (!value.is_array() || value.size() > maxVms)
        return { { "body", "must be an array of at most " + std::to_string(maxVms) + " VMs" } };
    for (std::size_t i = 0; i < value.size(); ++i) {
        ListedVm vm;
        json::ObjectReader reader(value[i], "/" + std::to_string(i), findings);
        reader.read("name", vm.name, json::Presence::Required, 256);
        reader.read("dataCentre", vm.dataCentre, json::Presence::Optional);
        reader.read("state", vm.state);
        vms.push_back(std::move(vm));
    }
    return findings;
}

VmListClient::VmListClient(const http::Endpoint& endpoint, Handler handler)
    : client_(endpoint)
    , handler_(std::move(handler))
    , thread_([this] { pollUntilStopped(); })
{
}

VmListClient::~VmListClient()
{
    {
        std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    wakeUp_.notify_all();
    thread_.join();
}

void VmListClient::pollUntilStopped()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        lock.unlock();
        auto result = client_.request("GET", "/v1/vms", "", now() + pollTimeout);
        std::vector<ListedVm> vms;
        if (!result.error && result.status == 200 && decodeVmList(result.body, vms).empty())
            handler_(vms);
        lock.lock();
        wakeUp_.wait_for(lock, pollInterval, [this] { return isStopping_; });
    }
}

} // namespace agatevane::entry
