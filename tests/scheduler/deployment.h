#pragma once

#include "agatevane/catalogue/codec.h"
#include "scheduler/scheduler.h"
#include "standins/store/store_server.h"
#include "standins/worker/worker_fleet.h"
#include "tests/support/free_port.h"
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <thread>

namespace agatevane::scheduler {

//! One data centre in the test process: a store, workers and schedulers that communicate over sockets.
class Deployment {
public:
    Deployment(int workers, int schedulers)
    {
        standin::StoreSettings storeSettings;
        store = std::make_unique<standin::StoreServer>(storeSettings);
        if (store->start())
            throw std::runtime_error("the stand-in store cannot listen on a port");
        http::Endpoint endpoint { .address = "127.0.0.1", .port = store->port() };
        standin::FleetSettings fleetSettings { .count = workers };
        fleetSettings.worker.dataCentre = { "dc" };
        fleet = std::make_unique<standin::WorkerFleet>(fleetSettings);
        if (fleet->start())
            throw std::runtime_error("the stand-in workers cannot listen on their ports");
        client = std::make_unique<store::Client>(std::vector { endpoint });
        putCatalogue();
        for (int i = 0; i < schedulers; ++i)
            ports.push_back(test::freePort());
        for (int i = 0; i < schedulers; ++i) {
            SchedulerSettings settings { .name = "s" + std::to_string(i), .region = i == 0 ? "near" : "far" };
            settings.listen = { "127.0.0.1", ports[static_cast<std::size_t>(i)] };
            settings.stores = { endpoint };
            for (int peer = 0; peer < schedulers; ++peer) {
                if (peer != i)
                    settings.peers.push_back(
                        { "s" + std::to_string(peer), { "127.0.0.1", ports[static_cast<std::size_t>(peer)] } });
            }
            processes.push_back(std::make_unique<Scheduler>(settings));
            if (processes.back()->start())
                throw std::runtime_error(
                    "scheduler " + settings.name + " cannot listen on port " + std::to_string(settings.listen.port));
        }
        thread_ = std::thread([this] { context_.run(); });
    }

    ~Deployment()
    {
        processes.clear();
        context_.stop();
        thread_.join();
        fleet->stop();
        store->stop();
    }

    template <typename Reply, typename Request>
    Reply sendRequest(int scheduler, MessageKind kind, const Request& request)
    {
        net::RpcClient rpc(context_, { "127.0.0.1", ports[static_cast<std::size_t>(scheduler)] });
        std::string bytes;
        Reply reply;
        auto error
            = rpc.callAndWait(static_cast<std::uint16_t>(kind), net::encode(request), now() + Millis { 4000 }, bytes);
        if (!error)
            net::decode(bytes, reply);
        return reply;
    }

    //! Submits the job to every scheduler in turn until one accepts it or `limit` has passed. Returns the index of the
    //! scheduler that accepted it, or -1.
    int submit(const JobSpec& spec, Millis limit)
    {
        for (auto deadline = now() + limit; now() < deadline; std::this_thread::sleep_for(Millis { 20 })) {
            for (int i = 0; i < static_cast<int>(processes.size()); ++i) {
                if (!processes[static_cast<std::size_t>(i)])
                    continue;
                auto result = sendRequest<SubmitJobReply>(i, MessageKind::SubmitJob, SubmitJobRequest { spec }).result;
                if (result == SubmitResult::Accepted || result == SubmitResult::Duplicate)
                    return i;
            }
        }
        return -1;
    }

    //! Waits until the job has the state or `limit` has passed. Returns the last view of the job in either case.
    JobView waitFor(int scheduler, const JobId& job, JobState state, Millis limit)
    {
        JobReply reply;
        for (auto deadline = now() + limit; now() < deadline; std::this_thread::sleep_for(Millis { 20 })) {
            reply = sendRequest<JobReply>(scheduler, MessageKind::JobStatus, JobRequest { { "dc" }, job });
            if (reply.status == JobReplyStatus::Found && reply.job.state == state)
                break;
        }
        return reply.job;
    }

    static JobSpec jobOf(const std::string& id, int accelerators, std::int64_t durationMs)
    {
        JobSpec spec { .id = { "dc." + id }, .workspace = { "ws" }, .dataCentre = { "dc" }, .kind = "clip" };
        spec.accelerators = accelerators;
        spec.expectedMs = durationMs;
        return spec;
    }

    std::unique_ptr<standin::StoreServer> store;
    std::unique_ptr<standin::WorkerFleet> fleet;
    std::unique_ptr<store::Client> client;
    std::vector<std::unique_ptr<Scheduler>> processes;
    std::vector<int> ports;

private:
    void put(const Entry& entry)
    {
        auto result
            = client->put({ .key = storeKeyOf(keyOf(entry)), .value = encodeEntry(entry) }, now() + Millis { 2000 });
        if (!result.ok())
            throw std::runtime_error("cannot write a catalogue entry to the store");
    }

    void putCatalogue()
    {
        DataCentreEntry dataCentre { .id = { "dc" }, .region = { "near" }, .owner = "operator" };
        for (const auto& worker : fleet->workers()) {
            const auto& settings = worker->settings();
            dataCentre.workers.push_back({ .id = settings.name,
                .rack = settings.rack,
                .address = "127.0.0.1:" + std::to_string(worker->port()),
                .capacity = settings.capacity });
        }
        put(dataCentre);
        put(WorkspaceEntry { .id = { "ws" }, .owner = "operator" });
    }

    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(context_);
    std::thread thread_;
};

} // namespace agatevane::scheduler
