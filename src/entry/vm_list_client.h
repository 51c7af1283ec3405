#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/finding.h"
#include "agatevane/base/id.h"
#include "agatevane/http/client.h"
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace agatevane::entry {

enum class VmState { Live, Leaving };

struct ListedVm {
    std::string name;
    DataCentreId dataCentre;
    VmState state = VmState::Live;
};

//! Appends the VMs in a JSON array to `vms` and returns every invalid field.
Findings decodeVmList(const std::string& text, std::vector<ListedVm>& vms);

//! Reads the platform's VM list every second, on a thread of its own. After a failure the last list stays in
//! use.
class VmListClient {
public:
    using Handler = std::function<void(const std::vector<ListedVm>& vms)>;

    VmListClient(const http::Endpoint& endpoint, Handler handler);
    ~VmListClient();

private:
    void pollUntilStopped();

    http::Client client_;
    Handler handler_;
    std::mutex mutex_;
    std::condition_variable wakeUp_;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace agatevane::entry

template <> struct agatevane::EnumNames<agatevane::entry::VmState> {
    static constexpr std::array<std::pair<agatevane::entry::VmState, std::string_view>, 2> table { {
        { agatevane::entry::VmState::Live, "live" },
        { agatevane::entry::VmState::Leaving, "leaving" },
    } };
};
