#include "agatevane/base/token.h"
#include "agatevane/catalogue/codec.h"
#include "agatevane/catalogue/view.h"
#include "agatevane/journal/record.h"
#include "agatevane/metrics/registry.h"
#include "agatevane/scheduling/shard.h"
#include "agatevane/timeline/ring.h"
#include "capacity/measure.h"

namespace agatevane::capacity {

namespace {

    constexpr int entrySizes[] = { 500, 1000, 2000, 4000 };
    constexpr int workerSizes[] = { 200, 400, 800, 1600 };
    constexpr int tasksPerWorker = 11;

    EntryUpdate makeUpdate(int i, std::int64_t revision)
    {
        CallerEntry caller;
        caller.id = { "caller-" + std::to_string(i) };
        caller.workspace = { "workspace" };
        caller.owner = "owner";
        caller.tokenDigest.assign(tokenDigestDigits, 'a');
        return { storeKeyOf({ EntryKind::Caller, caller.id.value }), revision, false, encodeEntry(caller) };
    }

    JobSpec makeSpec(const std::string& id)
    {
        JobSpec spec;
        spec.id = { id };
        spec.workspace = { "workspace-" + std::to_string(id.size() % 4) };
        spec.kind = "simulation";
        spec.accelerators = 1;
        spec.expectedMs = 3600000;
        spec.canCheckpoint = true;
        spec.dataCentre = { "data-centre-1" };
        spec.caller = { "caller-1" };
        return spec;
    }

    scheduling::ShardPtr makeLoadedShard(int workers, Instant at)
    {
        auto shard = scheduling::makeShard();
        scheduling::Policy policy;
        for (int i = 0; i < 4; ++i)
            policy.workspaces.push_back({ { "workspace-" + std::to_string(i) }, 1, 10, 0 });
        scheduling::setPolicy(*shard, policy);
        for (int i = 0; i < workers; ++i) {
            scheduling::WorkerState worker { { "worker-" + std::to_string(i) }, { "rack-" + std::to_string(i / 8) },
                { tasksPerWorker + 1, 64, 65536 } };
            scheduling::setWorker(*shard, worker);
            for (int task = 0; task < tasksPerWorker; ++task) {
                auto spec = makeSpec("job-" + std::to_string(i) + "-" + std::to_string(task));
                scheduling::adopt(*shard, spec, { { worker.id, 1 } }, at, 0);
            }
        }
        return shard;
    }

} // namespace

Series catalogueApply()
{
    Series series { "catalogue view, us to apply one change", "entries", {} };
    for (int size : entrySizes) {
        CatalogueView view;
        for (int i = 0; i < size; ++i)
            view.apply(makeUpdate(i, i + 1));
        std::int64_t revision = size;
        series.samples.push_back({ static_cast<double>(size), measureMicroseconds([&] {
                                      ++revision;
                                      view.apply(makeUpdate(static_cast<int>(revision % size), revision));
                                  }) });
    }
    return series;
}

Series catalogueMemory()
{
    Series series { "catalogue view, bytes", "entries", {} };
    for (int size : entrySizes) {
        auto before = heapBytes();
        CatalogueView view;
        for (int i = 0; i < size; ++i)
            view.apply(makeUpdate(i, i + 1));
        series.samples.push_back({ static_cast<double>(size), heapBytes() - before });
    }
    return series;
}

Series dataCentreBytes()
{
    Series series { "catalogue, bytes of a data centre's entry", "workers", {} };
    for (int size : workerSizes) {
        DataCentreEntry entry;
        entry.id = { "data-centre-1" };
        entry.region = { "region-1" };
        for (int i = 0; i < size; ++i) {
            auto number = std::to_string(i);
            entry.workers.push_back({ { "data-centre-1-worker-" + number }, { "rack-" + std::to_string(i / 8) },
                "10.100.200." + std::to_string(i % 250) + ":8100", { "service-1" }, { 8, 130, 262144 } });
        }
        auto bytes = encodeEntry(entry).size();
        series.samples.push_back({ static_cast<double>(size), static_cast<double>(bytes) });
    }
    return series;
}

namespace {

    constexpr int eventSizes[] = { 1024, 2048, 4096, 8192 };

    timeline::Event exampleEvent()
    {
        timeline::Event event;
        event.type = timeline::EventType::JobStarted;
        event.job = { "data-centre-1.0123456789abcdef0123456789abcdef" };
        event.workspace = { "workspace-1" };
        event.dataCentre = { "data-centre-1" };
        return event;
    }

} // namespace

Series timelineMemory()
{
    Series series { "timeline, bytes", "events held", {} };
    for (int size : eventSizes) {
        auto before = heapBytes();
        timeline::Ring ring("scheduler-1", static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i)
            ring.record(exampleEvent());
        series.samples.push_back({ static_cast<double>(size), heapBytes() - before });
    }
    return series;
}

Series timelineRecord()
{
    Series series { "timeline, us to record one event", "events held", {} };
    for (int size : eventSizes) {
        timeline::Ring ring("scheduler-1", static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i)
            ring.record(exampleEvent());
        series.samples.push_back(
            { static_cast<double>(size), measureMicroseconds([&] { ring.record(exampleEvent()); }) });
    }
    return series;
}

Series metricsRender()
{
    Series series { "metrics, us to render", "series", {} };
    for (int size : { 100, 200, 300, 400 }) {
        metrics::Registry registry;
        for (int i = 0; i < size; ++i)
            registry.counter("requests_total", "Requests.", { { "caller", "caller-" + std::to_string(i) } }).add();
        series.samples.push_back({ static_cast<double>(size), measureMicroseconds([&] { registry.render(); }) });
    }
    return series;
}

namespace {

    std::vector<std::string> encodedRecords(int count)
    {
        std::vector<std::string> records;
        records.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            journal::Record record { journal::RecordKind::Accepted, makeSpec("data-centre-1." + std::to_string(i)), {},
                "" };
            records.push_back(journal::encode(record));
        }
        return records;
    }

    constexpr int recordSizes[] = { 10, 50, 250, 1000 };

} // namespace

Series journalEncode()
{
    Series series { "journal, us to encode a batch", "records", {} };
    for (int size : recordSizes)
        series.samples.push_back({ static_cast<double>(size),
            measureMicroseconds([&] { journal::encodeBatch("token", encodedRecords(size)); }) });
    return series;
}

Series journalBytes()
{
    Series series { "journal, bytes of a batch", "records", {} };
    for (int size : recordSizes) {
        auto bytes = journal::encodeBatch("token", encodedRecords(size)).size();
        series.samples.push_back({ static_cast<double>(size), static_cast<double>(bytes) });
    }
    return series;
}

Series shardDecide()
{
    Series series { "scheduling, us to queue, start and end one job", "workers", {} };
    for (int size : workerSizes) {
        Instant at {};
        auto shard = makeLoadedShard(size, at);
        int job = 0;
        series.samples.push_back({ static_cast<double>(size), measureMicroseconds([&] {
                                      auto spec = makeSpec("new-" + std::to_string(++job));
                                      at += Millis(1);
                                      scheduling::enqueue(*shard, spec, at, 0);
                                      scheduling::decide(*shard, at);
                                      scheduling::markRunning(*shard, spec.id, at);
                                      scheduling::markEnded(*shard, spec.id, scheduling::EndReason::Finished, at);
                                  }) });
    }
    return series;
}

Series shardMemory()
{
    Series series { "scheduling, bytes with 11 tasks on each worker", "workers", {} };
    for (int size : workerSizes) {
        auto before = heapBytes();
        auto shard = makeLoadedShard(size, Instant {});
        series.samples.push_back({ static_cast<double>(size), heapBytes() - before });
    }
    return series;
}

} // namespace agatevane::capacity
