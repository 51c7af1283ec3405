#include "agatevane/admin/access.h"
#include "agatevane/admin/catalogue_handlers.h"
#include "agatevane/http/problem.h"
#include "agatevane/json/reader.h"
#include <memory>

namespace agatevane::admin {

namespace {

    void refuse(http::Response& response, int status, const std::string& title, std::optional<Outcome> outcome)
    {
        http::Problem problem { .status = status, .title = title, .outcome = outcome };
        http::writeProblem(problem, response);
    }

    nlohmann::json namesWithoutAnswer(const std::vector<DataCentreStatus>& statuses)
    {
        auto names = nlohmann::json::array();
        for (const auto& status : statuses) {
            if (status.reply.status != JobReplyStatus::Found)
                names.push_back(status.dataCentre.value);
        }
        return names;
    }

    void listWorkspaces(const Functions& functions, const http::Request& request, http::Response& response)
    {
        auto caller = authenticate(functions, request, response);
        if (!caller)
            return;
        auto statuses = functions.dataCentres();
        auto rows = nlohmann::json::array();
        for (const auto& [dataCentre, reply] : statuses) {
            for (const auto& workspace : reply.workspaces) {
                // Members of a joint venture are competitors, so each of them sees only its own workspace.
                if (!caller->isOperator && workspace.workspace != caller->workspace)
                    continue;
                bool isReduced = workspace.effectiveGuarantee < workspace.guaranteed;
                rows.push_back({ { "workspace", workspace.workspace.value }, { "dataCentre", dataCentre.value },
                    { "guaranteed", workspace.guaranteed }, { "effectiveGuarantee", workspace.effectiveGuarantee },
                    { "used", workspace.used }, { "lent", workspace.lent }, { "waiting", workspace.waiting },
                    { "dominantShare", workspace.dominantShare }, { "status", isReduced ? "reduced" : "met" } });
            }
        }
        response.body = json::dump(
            { { "workspaces", std::move(rows) }, { "dataCentresWithoutAnswer", namesWithoutAnswer(statuses) } });
    }

    void showFleet(const Functions& functions, const http::Request& request, http::Response& response)
    {
        if (!authenticate(functions, request, response))
            return;
        auto statuses = functions.dataCentres();
        auto rows = nlohmann::json::array();
        for (const auto& [dataCentre, reply] : statuses) {
            if (reply.status != JobReplyStatus::Found)
                continue;
            rows.push_back({ { "dataCentre", dataCentre.value }, { "owner", reply.owner.value },
                { "epoch", reply.epoch }, { "workers", reply.workers }, { "workersReachable", reply.workersReachable },
                { "accelerators", reply.accelerators }, { "acceleratorsFree", reply.acceleratorsFree },
                { "largestFreeGang", reply.largestFreeGang }, { "jobsQueued", reply.jobsQueued },
                { "jobsRunning", reply.jobsRunning }, { "oldestQueuedMs", reply.oldestQueuedMs } });
        }
        response.body = json::dump(
            { { "dataCentres", std::move(rows) }, { "dataCentresWithoutAnswer", namesWithoutAnswer(statuses) } });
    }

    void listOwners(const Functions& functions, const http::Request& request, http::Response& response)
    {
        if (!authenticate(functions, request, response))
            return;
        auto statuses = functions.dataCentres();
        auto rows = nlohmann::json::array();
        for (const auto& [dataCentre, reply] : statuses) {
            if (reply.status == JobReplyStatus::Found) {
                rows.push_back(
                    { { "dataCentre", dataCentre.value }, { "owner", reply.owner.value }, { "epoch", reply.epoch } });
            }
        }
        response.body = json::dump(
            { { "owners", std::move(rows) }, { "dataCentresWithoutAnswer", namesWithoutAnswer(statuses) } });
    }

    void listMembers(const Functions& functions, const http::Request& request, http::Response& response)
    {
        if (!authenticate(functions, request, response))
            return;
        auto at = now();
        auto rows = nlohmann::json::array();
        for (const auto& member : functions.members()) {
            const auto& record = member.record;
            rows.push_back({ { "member", record.member.value },
                { "address", record.address.address + ":" + std::to_string(record.address.port) },
                { "state", nameOf(record.state) }, { "leaving", member.isLeaving }, { "listed", member.isListed },
                { "incarnation", record.incarnation }, { "silentMs", elapsed(member.silentSince, at).count() },
                { "catalogueRevision", member.catalogueRevision } });
        }
        response.body = json::dump({ { "members", std::move(rows) } });
    }

    void drain(const Functions& functions, const http::Request& request, http::Response& response)
    {
        auto caller = authenticate(functions, request, response);
        if (!caller)
            return;
        if (!caller->isOperator)
            return refuse(response, 403, "only operators drain VMs", std::nullopt);
        const auto& vm = request.matches.at(1);
        switch (functions.drain({ vm })) {
        case DrainStatus::Started:
            response.status = 202;
            response.body = json::dump({ { "vm", vm }, { "state", "draining" } });
            return;
        case DrainStatus::NoSuchVm:
            return refuse(response, 404, "no such VM", std::nullopt);
        case DrainStatus::Unreachable:
            return refuse(response, 503, "the VM cannot be reached", Outcome::NotRun);
        case DrainStatus::Unknown:
            return refuse(response, 504, "no answer from the VM; it may be draining", Outcome::Unknown);
        }
    }

} // namespace

void registerAdminRoutes(http::Server& server, Functions functions)
{
    auto shared = std::make_shared<const Functions>(std::move(functions));
    using Route = void (*)(const Functions&, const http::Request&, http::Response&);
    auto add = [&](const char* method, const char* pattern, Route route) {
        server.route(method, pattern, [shared, route](const http::Request& request, http::Response& response) {
            route(*shared, request, response);
        });
    };
    constexpr const char* entryPattern = "/v1/catalogue/([a-z_]{1,32})/([A-Za-z0-9_.-]{1,128})";
    add("GET", "/v1/catalogue", listCatalogue);
    add("GET", entryPattern, getEntry);
    add("PUT", entryPattern, putEntry);
    add("DELETE", entryPattern, deleteEntry);
    add("GET", "/v1/workspaces", listWorkspaces);
    add("GET", "/v1/fleet", showFleet);
    add("GET", "/v1/members", listMembers);
    add("GET", "/v1/owners", listOwners);
    add("POST", "/v1/vms/([A-Za-z0-9_.-]{1,128})/drain", drain);
}

} // namespace agatevane::admin
