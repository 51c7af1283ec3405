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

Findings decodeVmList(const std::string& text, std::vector<ListedVm>& vms);

//! Reads the platform's VM list every second, on a thread of its own. Failures keep the last list in force.
class VmListClient {
public:
    using Handler = std::function<void(const std::vector<ListedVm>& vms)>;

    VmListClient(const http::Endpoint& endpoint, Handler handler);
    ~VmListClient();

private:
    void run();

    http::Client client_;
    Handler handler_;
    std::mutex mutex_;
    std::condition_variable wake_;
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
