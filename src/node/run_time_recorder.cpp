#include "node/run_time_recorder.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/metrics/registry.h"
#include "agatevane/run_times/record.h"
#include "node/unreadable_records.h"

namespace agatevane::node {

namespace {

    //! Least time between two records. A successor that lacks the last samples uses slightly older estimates.
    constexpr Millis saveInterval { 5000 };

    //! Steps of the ratio of two durations: finer around 1, up to the errors that declared times have.
    const std::vector<double>& ratioBounds()
    {
        static const std::vector<double> bounds { 0.1, 0.2, 0.4, 0.6, 0.8, 0.9, 1, 1.1, 1.25, 1.6, 2.5, 5, 10 };
        return bounds;
    }

    void observeRatio(metrics::Histogram& histogram, std::int64_t actualMs, std::int64_t otherMs)
    {
        if (otherMs > 0)
            histogram.observe(static_cast<double>(actualMs) / static_cast<double>(otherMs));
    }

} // namespace

RunTimeRecorder::RunTimeRecorder(fleet::Fleet& fleet, Committer& committer)
    : fleet_(fleet)
    , committer_(committer)
{
}

void RunTimeRecorder::load(const kv::ReadResult& items, Instant at)
{
    for (const auto& item : items.items) {
        if (item.key != runTimesKey)
            continue;
        auto model = run_times::decodeModel(item.value, at);
        if (!model)
            return reportUnreadableRecord(item);
        fleet_.runTimes.model = std::move(*model);
        event_log::Line("run_times_loaded")
            .with("tenure", fleet_.tenure)
            .with("queues", fleet_.runTimes.model.queues.size())
            .with("bytes", item.value.size());
    }
}

void RunTimeRecorder::saveIfDue(Instant at)
{
    countFinished();
    const auto& model = fleet_.runTimes.model;
    if (model.changes == savedChanges_ || at < nextSaveAt_)
        return;
    savedChanges_ = model.changes;
    nextSaveAt_ = at + saveInterval;
    committer_.enqueueRecord(runTimesKey, run_times::encodeModel(model));
}

void RunTimeRecorder::countFinished()
{
    auto finished = std::exchange(fleet_.runTimes.finished, {});
    if (finished.empty())
        return;
    auto& registry = metrics::registry();
    auto& ofExpected = registry.histogram("agatevane_run_time_to_expected_ratio",
        "Run time of finished runs divided by the median that was expected of them", ratioBounds());
    auto& ofDeclared = registry.histogram("agatevane_run_time_to_declared_ratio",
        "Run time of finished runs divided by the declared time", ratioBounds());
    for (const auto& run : finished) {
        observeRatio(ofExpected, run.actualMs, run.expectedMs);
        observeRatio(ofDeclared, run.actualMs, run.declaredMs);
    }
}

} // namespace agatevane::node
