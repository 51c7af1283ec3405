#include "entry/entry_server.h"

#include "agatevane/http/problem.h"

namespace agatevane::entry {

namespace {

    constexpr int ioThreadCount = 2;

    http::ServerLimits limitsOf(const Settings& settings)
    {
        http::ServerLimits limits;
        limits.threads = settings.threads;
        return limits;
    }

} // namespace

EntryServer::EntryServer(Settings settings)
    : settings_(std::move(settings))
    , workGuard_(context_.get_executor())
    , schedulers_(context_, settings_.schedulers)
    , calls_ { catalogue_, workers_, settings_.defaultTimeout }
    , jobs_ { catalogue_, schedulers_, settings_.defaultTimeout }
    , server_(limitsOf(settings_), settings_.tls)
{
    for (int i = 0; i < ioThreadCount; ++i)
        ioThreads_.emplace_back([this] { context_.run(); });
}

EntryServer::~EntryServer()
{
    stop();
    context_.stop();
    for (auto& thread : ioThreads_)
        thread.join();
}

std::error_code EntryServer::start()
{
    addRoutes();
    if (auto error = server_.bind(settings_.listen.address, settings_.listen.port))
        return error;
    server_.start();
    return {};
}

int EntryServer::port() const
{
    return server_.port();
}

void EntryServer::drain()
{
    isDraining_ = true;
}

void EntryServer::stop()
{
    drain();
    server_.stop();
}

void EntryServer::addRoutes()
{
    using http::Request;
    using http::Response;
    server_.route("POST", R"(/v1/services/([A-Za-z0-9_-]+)/calls)",
        [this](const Request& request, Response& response) { handleCall(calls_, request, response); });
    server_.route("POST", "/v1/jobs",
        [this](const Request& request, Response& response) { submitJob(jobs_, request, response); });
    server_.route(
        "GET", "/v1/jobs", [this](const Request& request, Response& response) { listJobs(jobs_, request, response); });
    server_.route("GET", R"(/v1/jobs/([A-Za-z0-9_.-]+))",
        [this](const Request& request, Response& response) { showJob(jobs_, request, response); });
    server_.route("DELETE", R"(/v1/jobs/([A-Za-z0-9_.-]+))",
        [this](const Request& request, Response& response) { cancelJob(jobs_, request, response); });
    server_.route("GET", "/healthz", [](const Request&, Response& response) { response.body = "{}"; });
    server_.route("GET", "/readyz", [this](const Request&, Response& response) {
        if (isDraining_)
            http::writeProblem({ .status = 503, .title = "shutting down" }, response);
        else
            response.body = "{}";
    });
}

} // namespace agatevane::entry
