#include "agatevane/http/client.h"
#include "agatevane/http/server.h"
#include "agatevane/json/reader.h"
#include "agatevane/net/rpc.h"
#include "agatevane/worker_api/worker_api.h"
#include "capacity/measure.h"
#include <asio/executor_work_guard.hpp>
#include <thread>

namespace agatevane::capacity {

namespace {

    constexpr int taskSizes[] = { 1, 5, 11, 32 };
    std::string makeAttemptId(int i)
    {
        return "0123456789abcdef0123456789abc" + std::to_string(100 + i);
    }

    WorkerReport makeReport(int tasks)
    {
        WorkerReport report;
        report.worker = { "data-centre-1-worker-1234" };
        report.instance = "0123456789abcdef";
        report.clockMs = 123456789;
        report.epoch = 42;
        report.rack = { "rack-12" };
        report.dataCentre = { "data-centre-1" };
        for (int i = 0; i < tasks; ++i) {
            TaskReport task;
            task.job = { "data-centre-1.0123456789abcdef0123456789abcdef" };
            task.attempt = { makeAttemptId(i) };
            task.epoch = 42;
            task.state = TaskState::Running;
            task.accelerators = 1;
            task.progressMs = 123456;
            task.checkpointedMs = 123456;
            task.leaseUntilClockMs = 123456789;
            report.tasks.push_back(task);
        }
        return report;
    }

    std::string makeRenewal(int tasks)
    {
        RenewCommand command { 42, 123456789, {} };
        for (int i = 0; i < tasks; ++i)
            command.attempts.push_back({ makeAttemptId(i) });
        return json::dump(command);
    }

} // namespace

Series reportBytes()
{
    Series series { "worker, bytes of the bodies of one report and one renewal", "tasks", {} };
    for (int size : taskSizes) {
        auto bytes = json::dump(makeReport(size)).size() + makeRenewal(size).size();
        series.samples.push_back({ static_cast<double>(size), static_cast<double>(bytes) });
    }
    return series;
}

Series reportDecode()
{
    Series series { "worker, us to decode a report", "tasks", {} };
    for (int size : taskSizes) {
        auto text = json::dump(makeReport(size));
        WorkerReport report;
        series.samples.push_back({ static_cast<double>(size), measureMicroseconds([&] { decode(text, report); }) });
    }
    return series;
}

Series renewEncode()
{
    Series series { "worker, us to encode a renewal", "tasks", {} };
    for (int size : taskSizes)
        series.samples.push_back({ static_cast<double>(size), measureMicroseconds([&] { makeRenewal(size); }) });
    return series;
}

Series httpPoll()
{
    Series series { "worker, us for one report over HTTP, both ends", "tasks", {} };
    for (int size : taskSizes) {
        http::Server server;
        auto text = json::dump(makeReport(size));
        server.route(
            "GET", "/v1/report", [&](const http::Request&, http::Response& response) { response.body = text; });
        if (server.bind("127.0.0.1", 0))
            return series;
        server.start();
        http::Client client({ "127.0.0.1", server.port() });
        series.samples.push_back({ static_cast<double>(size),
            measureMicroseconds([&] { client.request("GET", "/v1/report", "", now() + Millis(5000)); }) });
    }
    return series;
}

Series rpcCall()
{
    Series series { "RPC, us for one call, both ends", "payload bytes", {} };
    asio::io_context context;
    auto guard = asio::make_work_guard(context);
    std::thread thread([&] { context.run(); });
    {
        net::RpcServer server(context,
            [](std::uint16_t, std::string_view payload, const net::Reply& reply) { reply(std::string(payload)); });
        if (!server.listen({ "127.0.0.1", 0 })) {
            net::RpcClient client(context, { "127.0.0.1", server.port() });
            for (int size : { 100, 1000, 10000, 100000 }) {
                std::string payload(static_cast<std::size_t>(size), 'x');
                series.samples.push_back({ static_cast<double>(size), measureMicroseconds([&] {
                                              std::string reply;
                                              client.callAndWait(1, payload, now() + Millis(5000), reply);
                                          }) });
            }
        }
        context.stop();
        thread.join();
    }
    return series;
}

} // namespace agatevane::capacity
