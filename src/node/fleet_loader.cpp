#include "node/fleet_loader.h"

#include "agatevane/fleet/group_commit.h"
#include "agatevane/fleet/progress_parts.h"
#include "agatevane/fleet/queue_record.h"
#include "node/committer.h"
#include "node/run_time_recorder.h"

namespace agatevane::node {

FleetLoader::FleetLoader(asio::io_context& context, kv::Store& store, std::string workerPrefix,
    std::string evacuationPrefix, bool areRunTimesLearned)
    : context_(context)
    , store_(store)
    , workerPrefix_(std::move(workerPrefix))
    , evacuationPrefix_(std::move(evacuationPrefix))
    , areRunTimesLearned_(areRunTimesLearned)
{
}

void FleetLoader::start(Done done)
{
    done_ = std::move(done);
    stored_.askedAt = bootNow();
    read(fleet::acceptancePrefix, stored_.acceptances);
    read(fleet::progressPrefix, stored_.progress);
    read(fleet::partPrefix, stored_.parts);
    read(fleet::queuePrefix, stored_.queues);
    read(fleet::denialPrefix, stored_.denials);
    read(knownWorkersKey, stored_.knownWorkers);
    if (areRunTimesLearned_)
        read(runTimesKey, stored_.runTimes);
    read(workerPrefix_, stored_.listings);
    if (!evacuationPrefix_.empty())
        read(evacuationPrefix_, stored_.evacuations);
}

void FleetLoader::stop()
{
    for (auto& reading : readings_)
        reading->stop();
}

void FleetLoader::read(const std::string& prefix, kv::ReadResult& target)
{
    ++partsLeft_;
    readings_.push_back(std::make_unique<PrefixReading>(context_, store_, prefix));
    readings_.back()->start([this, &target](kv::ReadResult result) {
        target = std::move(result);
        if (--partsLeft_ == 0)
            done_(std::exchange(stored_, {}));
    });
}

} // namespace agatevane::node
