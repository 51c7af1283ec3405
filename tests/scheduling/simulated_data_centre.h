#pragma once

#include "agatevane/base/random.h"
#include "agatevane/scheduling/invariants.h"
#include "fixture.h"
#include <map>
#include <rapidcheck.h>
#include <tuple>

namespace agatevane::scheduling::testing {

//! Random input for one event: its kind, the object it concerns, and a number for sizes and times.
using RandomStep = std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>;

//! Reports random events to a shard, carries out its decisions and checks them against bookkeeping of its own.
class SimulatedDataCentre {
public:
    struct Gang {
        JobSpec spec;
        Placement placement;
        Instant queuedAt;
        bool isPreempting = false;
    };

    int racks = 3;
    int workersPerRack = 3; //!< each worker has 8 accelerators
    bool mayChangeFleet = true; //!< whether events include changes of a worker's availability
    bool mayBeUnstoppable = true; //!< whether some jobs can be neither stopped nor checkpointed
    ShardPtr shard = makeShard();
    Instant at = testing::at(0);
    std::map<std::string, JobSpec> queued;
    std::map<std::string, Gang> running;
    std::map<std::string, WorkerState> workers;
    std::map<std::string, Instant> queuedAt; //!< first queueing of each job
    std::vector<Decision> decisionLog;
    std::map<std::string, int> guarantees;
    int nextJobNumber = 0;

    explicit SimulatedDataCentre(const Policy& policy = defaultPolicy())
    {
        setPolicy(*shard, policy);
        for (const auto& workspace : policy.workspaces)
            guarantees[workspace.id.value] = workspace.guaranteedAccelerators;
        for (int rack = 0; rack < racks; ++rack) {
            for (int number = 0; number < workersPerRack; ++number)
                updateWorker(worker(rack, number));
        }
    }

    static Policy defaultPolicy()
    {
        Policy policy;
        policy.workspaces
            = { { .id = { "a" }, .guaranteedAccelerators = 24 }, { .id = { "b" }, .guaranteedAccelerators = 16 },
                  { .id = { "c" }, .weight = 2 }, { .id = { "d" }, .quotaAccelerators = 20 } };
        return policy;
    }

    void updateWorker(const WorkerState& state)
    {
        workers[state.id.value] = state;
        setWorker(*shard, state);
    }

    void submit(JobSpec spec)
    {
        queued[spec.id.value] = spec;
        queuedAt.try_emplace(spec.id.value, at);
        enqueue(*shard, spec, queuedAt[spec.id.value], 0);
    }

    //! Carries out one random event, then all decisions that follow from it.
    void apply(const RandomStep& step)
    {
        auto [kind, object, size] = step;
        at += Millis(size % 40000);
        switch (kind % (mayChangeFleet ? 8 : 6)) {
        case 0:
        case 1:
        case 2:
            submit(randomJob(object, size));
            break;
        case 3:
        case 4:
            if (!running.empty())
                endGang(std::next(running.begin(), object % running.size())->first, EndReason::Finished);
            break;
        case 5:
            if (!queued.empty() && object % 4 == 0) {
                std::string id = std::next(queued.begin(), object % queued.size())->first;
                dequeue(*shard, { id });
                queued.erase(id);
            }
            endPreemptedGangs();
            break;
        default:
            WorkerState state = std::next(workers.begin(), object % workers.size())->second;
            state.isAvailable = !state.isAvailable;
            updateWorker(state);
        }
        decideAndApply();
    }

    void endGang(const std::string& id, EndReason reason)
    {
        Gang gang = running.at(id);
        running.erase(id);
        markEnded(*shard, { id }, reason, at);
        if (reason == EndReason::Stopped)
            submit(gang.spec);
    }

    //! Ends all gangs that are being preempted and queues their jobs again.
    void endPreemptedGangs()
    {
        std::vector<std::string> ended;
        for (const auto& [id, gang] : running) {
            if (gang.isPreempting)
                ended.push_back(id);
        }
        for (const auto& id : ended)
            endGang(id, EndReason::Stopped);
    }

    //! Calls `decide` once and carries out its decisions.
    std::vector<Decision> decideAndApply()
    {
        auto decisions = decide(*shard, at);
        for (const auto& decision : decisions) {
            decisionLog.push_back(decision);
            if (const auto* start = std::get_if<StartGang>(&decision))
                carryOut(*start);
            else if (const auto* preempt = std::get_if<PreemptGang>(&decision))
                carryOut(*preempt);
            else
                queued.erase(std::get<JobImpossible>(decision).job.value);
        }
        return decisions;
    }

    int usedBy(const std::string& workspace) const
    {
        int used = 0;
        for (const auto& [id, gang] : running)
            used += gang.spec.workspace.value == workspace ? gang.spec.accelerators : 0;
        return used;
    }

    int preemptedFrom(const std::string& workspace) const
    {
        int preempting = 0;
        for (const auto& [id, gang] : running)
            preempting += gang.isPreempting && gang.spec.workspace.value == workspace ? gang.spec.accelerators : 0;
        return preempting;
    }

    void requireInvariants() const
    {
        auto findings = checkInvariants(*shard);
        if (!findings.empty())
            RC_FAIL(format(findings));
        RC_ASSERT(invariantViolations(*shard) == 0U);
    }

private:
    JobSpec randomJob(int object, int size)
    {
        static const std::array<std::string, 4> workspaces { "a", "b", "c", "d" };
        static const std::array<int, 8> sizes { 1, 1, 2, 4, 8, 8, 16, 24 };
        auto spec = job("j" + std::to_string(nextJobNumber++), sizes[size % 8], workspaces[object % 4],
            static_cast<WorkClass>(object / 4 % 3));
        spec.caller.value += std::to_string(size / 8 % 3);
        spec.acceleratorsPerWorker = spec.accelerators >= 8 && size % 3 == 0 ? 8 : 0;
        spec.maxSpread = spec.accelerators <= 24 && size % 5 == 0 ? Spread::Rack : Spread::DataCentre;
        spec.expectedMs = 1000 * (1 + size % 300);
        spec.canCheckpoint = object % 5 != 0;
        spec.canStop = !mayBeUnstoppable || object % 10 != 0;
        return spec;
    }

    void carryOut(const StartGang& start)
    {
        auto found = queued.find(start.job.value);
        RC_ASSERT(found != queued.end());
        const JobSpec spec = found->second;
        int sum = 0;
        std::set<std::string> usedRacks;
        for (const auto& part : start.placement) {
            sum += part.accelerators;
            const WorkerState& state = workers.at(part.worker.value);
            usedRacks.insert(state.rack.value);
            RC_ASSERT(state.isAvailable);
            RC_ASSERT(usedOn(part.worker) + part.accelerators <= state.capacity.accelerators);
            RC_ASSERT(spec.acceleratorsPerWorker == 0 || part.accelerators == spec.acceleratorsPerWorker);
        }
        RC_ASSERT(sum == spec.accelerators);
        RC_ASSERT(spec.maxSpread != Spread::Rack || usedRacks.size() == 1U);
        queued.erase(found);
        running[start.job.value] = { spec, start.placement, queuedAt[start.job.value] };
        RC_ASSERT(spec.workspace.value != "d" || usedBy("d") <= 20);
        markRunning(*shard, start.job, at);
    }

    void carryOut(const PreemptGang& preempt)
    {
        Gang& gang = running.at(preempt.job.value);
        RC_ASSERT(!gang.isPreempting);
        RC_ASSERT(gang.spec.canStop || gang.spec.canCheckpoint);
        RC_ASSERT(preempt.deadline > at);
        const WorkspaceId& workspace = gang.spec.workspace;
        auto beneficiary = queued.contains(preempt.beneficiary.value) ? queued.at(preempt.beneficiary.value).workspace
                                                                      : WorkspaceId {};
        bool isMove = preempt.reason == "defragmentation" || preempt.reason == "reservation";
        if (!mayChangeFleet && !isMove && workspace != beneficiary) {
            RC_ASSERT(usedBy(workspace.value) - preemptedFrom(workspace.value) > guarantees[workspace.value]);
        }
        gang.isPreempting = true;
    }

    int usedOn(const WorkerId& id) const
    {
        int used = 0;
        for (const auto& [unused, gang] : running) {
            for (const auto& part : gang.placement)
                used += part.worker == id ? part.accelerators : 0;
        }
        return used;
    }
};

} // namespace agatevane::scheduling::testing
