#pragma once

#include "agatevane/base/random.h"
#include "agatevane/scheduling/invariants.h"
#include "fixture.h"
#include <map>
#include <rapidcheck.h>
#include <tuple>

namespace agatevane::scheduling::testing {

//! One random step: what to do, to which object, with which size.
using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>;

//! Applies random steps and carries out the decisions, with accounts of its own that the shard's are checked against.
class History {
public:
    struct Gang {
        JobSpec spec;
        Placement placement;
        Instant queuedAt;
        bool isPreempting = false;
    };

    int racks = 3;
    int workersPerRack = 3;
    bool mayChangeFleet = true;
    bool mayBeUnstoppable = true;
    ShardPtr shard = makeShard();
    Instant at = testing::at(0);
    std::map<std::string, JobSpec> queued;
    std::map<std::string, Gang> running;
    std::map<std::string, WorkerState> workers;
    std::map<std::string, Instant> queuedAt;
    std::vector<Decision> log;
    std::map<std::string, int> guarantees;
    int nextJob = 0;

    explicit History(const Policy& policy = defaultPolicy())
    {
        setPolicy(*shard, policy);
        for (const auto& workspace : policy.workspaces)
            guarantees[workspace.id.value] = workspace.guaranteedAccelerators;
        for (int rack = 0; rack < racks; ++rack) {
            for (int number = 0; number < workersPerRack; ++number)
                set(worker(rack, number));
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

    void set(const WorkerState& state)
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

    void apply(const Step& step)
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
                end(std::next(running.begin(), object % running.size())->first, EndReason::Finished);
            break;
        case 5:
            if (!queued.empty() && object % 4 == 0) {
                std::string id = std::next(queued.begin(), object % queued.size())->first;
                dequeue(*shard, { id });
                queued.erase(id);
            }
            endPreempted();
            break;
        default:
            WorkerState state = std::next(workers.begin(), object % workers.size())->second;
            state.isAvailable = !state.isAvailable;
            set(state);
        }
        decideOnce();
    }

    void end(const std::string& id, EndReason reason)
    {
        Gang gang = running.at(id);
        running.erase(id);
        markEnded(*shard, { id }, reason, at);
        if (reason == EndReason::Stopped)
            submit(gang.spec);
    }

    void endPreempted()
    {
        std::vector<std::string> ended;
        for (const auto& [id, gang] : running) {
            if (gang.isPreempting)
                ended.push_back(id);
        }
        for (const auto& id : ended)
            end(id, EndReason::Stopped);
    }

    std::vector<Decision> decideOnce()
    {
        auto decisions = decide(*shard, at);
        for (const auto& decision : decisions) {
            log.push_back(decision);
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

    int leavingOf(const std::string& workspace) const
    {
        int leaving = 0;
        for (const auto& [id, gang] : running)
            leaving += gang.isPreempting && gang.spec.workspace.value == workspace ? gang.spec.accelerators : 0;
        return leaving;
    }

    void checkAll() const
    {
        auto findings = checkInvariants(*shard);
        if (!findings.empty())
            RC_FAIL(format(findings));
        RC_ASSERT(invariantFaults(*shard) == 0U);
    }

private:
    JobSpec randomJob(int object, int size)
    {
        static const std::array<std::string, 4> workspaces { "a", "b", "c", "d" };
        static const std::array<int, 8> sizes { 1, 1, 2, 4, 8, 8, 16, 24 };
        auto spec = job("j" + std::to_string(nextJob++), sizes[size % 8], workspaces[object % 4],
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
            RC_ASSERT(usedBy(workspace.value) - leavingOf(workspace.value) > guarantees[workspace.value]);
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
