#include "simulation.h"

//! The callers, who submit and cancel jobs, and the faults.
namespace agatevane::simulation {

using namespace shard_owner;

void Simulation::onAnswer(const AnswerSubmit& answer)
{
    auto request = requests_.extract(answer.request);
    if (request.empty())
        return;
    const auto& spec = request.mapped();
    switch (answer.reply.result) {
    case SubmitResult::Accepted:
    case SubmitResult::Duplicate:
        acceptedJobs_.insert(spec.id);
        if (!durableJobs_.contains(spec.id))
            throw InvariantViolation("job " + spec.id.value + " was accepted before it was durable");
        break;
    case SubmitResult::Unknown:
        uncertainJobs_.insert(spec.id);
        if (chance(0.5))
            schedule(500, [this, spec] { submitTo(spec, static_cast<int>(uniform(random_, 0, processCount - 1))); });
        break;
    default:
        trace("refused " + spec.id.value + " " + std::string(nameOf(answer.reply.result)));
        refusedJobs_.insert(spec.id);
        break;
    }
}

void Simulation::submitTo(const JobSpec& spec, int number)
{
    auto request = nextRequest_++;
    requests_[request] = spec;
    auto incarnation = processes_[static_cast<std::size_t>(number)].incarnation;
    schedule(latency(), [=, this] { run(number, incarnation, SubmitArrived { request, spec }); });
}

void Simulation::submitJob()
{
    if (now_ > options_.faultPeriodMs)
        return;
    JobSpec spec { .id = { "dc.j" + std::to_string(nextJob_++) }, .workspace = { "ws" }, .dataCentre = dataCentre };
    spec.accelerators = static_cast<int>(chance(0.4) ? uniform(random_, 9, 24) : uniform(random_, 1, 8));
    spec.expectedMs = uniform(random_, 500, 12000);
    spec.canCheckpoint = chance(0.5);
    spec.workClass = chance(0.2) ? WorkClass::Urgent : WorkClass::Standard;
    auto target = static_cast<int>(uniform(random_, 0, processCount - 1));
    for (const auto& process : processes_) {
        if (process.isAlive && isServing(process.state) && chance(0.8))
            target = process.number;
    }
    submitTo(spec, target);
    if (chance(0.15)) {
        auto incarnation = processes_[static_cast<std::size_t>(target)].incarnation;
        schedule(static_cast<double>(uniform(random_, 0, 6000)), [=, this] {
            run(target, incarnation, CancelArrived { nextRequest_++, spec.id });
        });
    }
    schedule(static_cast<double>(uniform(random_, 100, 1500)), [this] { submitJob(); });
}

void Simulation::injectFault()
{
    if (now_ > options_.faultPeriodMs)
        return;
    auto& process = processes_[static_cast<std::size_t>(uniform(random_, 0, processCount - 1))];
    auto duration = static_cast<double>(uniform(random_, 200, 9000));
    switch (uniform(random_, 0, 7)) {
    case 0:
        trace("pause " + process.id.value);
        process.pausedUntil = now_ + duration;
        break;
    case 1:
        trace("kill " + process.id.value);
        process.isAlive = false;
        ++process.incarnation;
        schedule(duration, [this, number = process.number] {
            if (auto& stoppedProcess = processes_[static_cast<std::size_t>(number)]; !stoppedProcess.isAlive)
                startProcess(stoppedProcess);
        });
        break;
    case 2:
    case 3:
        trace("store outage");
        storeMode_ = chance(0.5) ? StoreMode::Refuses : StoreMode::Silent;
        schedule(duration, [this] { storeMode_ = StoreMode::Answers; });
        break;
    case 4:
        workers_[static_cast<std::size_t>(uniform(random_, 0, workerCount - 1))].restart(now_);
        break;
    case 5:
        trace("release " + process.id.value);
        run(process.number, process.incarnation, ReleaseRequested {});
        break;
    default:
        trace("partition");
        isolatedSites_.clear();
        for (int i = 0; i < processCount; ++i) {
            if (chance(0.3))
                isolatedSites_.insert(i);
        }
        for (int i = 0; i < workerCount; ++i) {
            if (chance(0.3))
                isolatedSites_.insert(firstWorkerSite + i);
        }
        schedule(duration, [this] { isolatedSites_.clear(); });
        break;
    }
    schedule(static_cast<double>(uniform(random_, 500, 8000)), [this] { injectFault(); });
}

} // namespace agatevane::simulation
