#include "standins/vmlist/vm_list.h"

#include "agatevane/json/reader.h"

namespace agatevane::standin {

VmListServer::VmListServer(const VmListSettings& settings)
    : settings_(settings)
    , server_(http::ServerLimits { .threads = 16 })
    , control_(http::ServerLimits { .threads = 4 })
{
    versions_.push_back({ Instant(), nlohmann::json::array() });
    server_.route("GET", "/v1/vms", [this](const http::Request&, http::Response& response) {
        {
            std::lock_guard lock(mutex_);
            response.status = isDown_ ? 503 : 200;
        }
        response.body = response.status == 200 ? json::dump(listAt(now())) : "{}";
    });
    // The body replaces the whole list.
    control_.route("PUT", "/control/vms", [this](const http::Request& request, http::Response& response) {
        Findings findings;
        nlohmann::json vms;
        if (!json::parse(request.body, "body", vms, findings) || !vms.is_array()) {
            response.status = 400;
            return;
        }
        set(std::move(vms), now());
        response.body = "{}";
    });
    control_.route("POST", "/control/faults", [this](const http::Request& request, http::Response& response) {
        Findings findings;
        nlohmann::json body;
        std::lock_guard lock(mutex_);
        isDown_ = false;
        if (json::parse(request.body, "body", body, findings))
            json::ObjectReader(body, "", findings).read("down", isDown_, json::Presence::Optional);
        response.status = findings.empty() ? 200 : 400;
        response.body = "{}";
    });
}

std::error_code VmListServer::start()
{
    if (auto error = server_.bind(settings_.address, settings_.port))
        return error;
    if (auto error = control_.bind(settings_.address, settings_.controlPort))
        return error;
    server_.start();
    control_.start();
    return {};
}

void VmListServer::stop()
{
    control_.stop();
    server_.stop();
}

void VmListServer::set(nlohmann::json vms, Instant at)
{
    std::lock_guard lock(mutex_);
    versions_.push_back({ at, std::move(vms) });
}

nlohmann::json VmListServer::listAt(Instant at)
{
    std::lock_guard lock(mutex_);
    while (versions_.size() > 1 && versions_[1].since <= at - Millis(settings_.lagMs))
        versions_.pop_front();
    return versions_.front().vms;
}

} // namespace agatevane::standin
