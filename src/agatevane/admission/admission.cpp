#include "agatevane/admission/admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace agatevane::admission {

namespace {

    //! Minimum share of the slots that belongs to no floor.
    constexpr double minSharedShare = 0.1;
    constexpr double meanSmoothing = 0.05; //!< weight of a new sample in `meanServiceMs`
    constexpr Millis minRetryAfter { 1000 };
    constexpr Millis maxRetryAfter { 60000 };

    std::size_t indexOf(WorkClass workClass)
    {
        return static_cast<std::size_t>(workClass);
    }

    int waitingTotal(const State& state)
    {
        return state.waiting[0] + state.waiting[1] + state.waiting[2];
    }

    bool isActive(const WorkspaceState& workspace)
    {
        return workspace.running > 0 || workspace.waiting[0] + workspace.waiting[1] + workspace.waiting[2] > 0;
    }

    int waitingOf(const CallerState& caller)
    {
        return static_cast<int>(caller.waiting[0].size() + caller.waiting[1].size() + caller.waiting[2].size());
    }

    double activeWeight(const State& state)
    {
        double sum = 0;
        for (const auto& [id, workspace] : state.workspaces) {
            if (isActive(workspace))
                sum += workspace.share.weight;
        }
        return sum;
    }

    //! Divides the slots into pools. A floor with a positive share gets at least one slot, unless all floors together
    //! would leave fewer shared slots than `minSharedShare`; then all floors are scaled down.
    void sizePools(State& state)
    {
        const auto& config = state.config;
        auto requestedSlots
            = [&config](double share) { return share > 0 ? std::max(1.0, std::round(share * config.slots)) : 0; };
        double sum = 0;
        for (double share : config.classFloors)
            sum += requestedSlots(share);
        for (const auto& [id, workspace] : config.workspaces)
            sum += requestedSlots(workspace.floorShare);
        double available = std::floor(config.slots * (1 - minSharedShare));
        double scale = sum > available ? available / sum : 1;
        int left = config.slots;
        auto assignSlots = [&](double share) {
            int slots = static_cast<int>(std::floor(requestedSlots(share) * scale));
            left -= slots;
            return slots;
        };
        for (std::size_t i = 0; i < classCount; ++i)
            state.classPools[i].size = assignSlots(config.classFloors[i]);
        for (auto& [id, workspace] : state.workspaces)
            workspace.floor.size = assignSlots(workspace.share.floorShare);
        state.shared.size = left;
    }

    Pool& poolOf(State& state, PoolKind kind, const WorkspaceId& workspace, std::size_t workClass)
    {
        if (kind == PoolKind::WorkspaceFloor)
            return state.workspaces.at(workspace).floor;
        return kind == PoolKind::ClassFloor ? state.classPools[workClass] : state.shared;
    }

    //! Finds a pool with a free slot. The most restricted pool comes first, so that the less restricted ones stay free
    //! for other requests.
    std::optional<PoolKind> freePool(const State& state, const WorkspaceState& workspace, std::size_t workClass)
    {
        if (workspace.floor.isFree())
            return PoolKind::WorkspaceFloor;
        if (state.classPools[workClass].isFree())
            return PoolKind::ClassFloor;
        if (state.shared.isFree())
            return PoolKind::Shared;
        return std::nullopt;
    }

    //! Erases a caller and a workspace without waiting or running requests, so that the number of requests in the
    //! process bounds the size of the maps.
    void eraseIdle(State& state, const WorkspaceId& workspaceId, const CallerId& callerId)
    {
        auto workspace = state.workspaces.find(workspaceId);
        auto caller = workspace->second.callers.find(callerId);
        if (caller != workspace->second.callers.end() && caller->second.running == 0 && waitingOf(caller->second) == 0)
            workspace->second.callers.erase(caller);
        if (!isActive(workspace->second) && !state.config.workspaces.contains(workspaceId))
            state.workspaces.erase(workspace);
    }

    WorkspaceState& addToActive(State& state, const Arrival& arrival)
    {
        auto& workspace = state.workspaces[arrival.workspace];
        // A workspace that was idle gets no credit for the idle time.
        if (!isActive(workspace))
            workspace.virtualTime = std::max(workspace.virtualTime, state.virtualTime);
        auto [caller, isNew] = workspace.callers.try_emplace(arrival.caller);
        if (isNew)
            caller->second.virtualTime = workspace.callersVirtualTime;
        return workspace;
    }

    void start(State& state, const WorkspaceId& workspaceId, const CallerId& callerId, std::size_t workClass,
        PoolKind pool, RequestId requestId, Instant now)
    {
        auto& workspace = state.workspaces.at(workspaceId);
        auto& caller = workspace.callers.at(callerId);
        ++poolOf(state, pool, workspaceId, workClass).used;
        ++workspace.running;
        ++caller.running;
        state.virtualTime = std::max(state.virtualTime, workspace.virtualTime);
        workspace.virtualTime += 1 / workspace.share.weight;
        workspace.callersVirtualTime = std::max(workspace.callersVirtualTime, caller.virtualTime);
        caller.virtualTime += 1;
        state.running.emplace(
            requestId, RunningRequest { workspaceId, callerId, static_cast<WorkClass>(workClass), pool, now });
    }

    struct Candidate {
        WorkspaceId workspace;
        std::size_t workClass = 0;
        PoolKind pool = PoolKind::Shared;
    };

    //! Urgency takes precedence only within a workspace's fair share of the slots; beyond it all classes rank as batch,
    //! so that a flood of urgent work of one workspace does not displace the others.
    std::optional<Candidate> nextCandidate(const State& state)
    {
        using Key = std::tuple<std::size_t, double, std::size_t>;
        constexpr std::size_t lowestRank = classCount - 1;
        std::optional<Candidate> best;
        Key bestKey;
        double weights = activeWeight(state);
        for (const auto& [id, workspace] : state.workspaces) {
            bool isOverShare = workspace.running * weights >= workspace.share.weight * state.config.slots;
            for (std::size_t workClass = 0; workClass < classCount; ++workClass) {
                if (workspace.waiting[workClass] == 0)
                    continue;
                Key key { isOverShare ? lowestRank : workClass, workspace.virtualTime, workClass };
                if (best && key >= bestKey)
                    continue;
                if (auto pool = freePool(state, workspace, workClass)) {
                    best = Candidate { id, workClass, *pool };
                    bestKey = key;
                }
            }
        }
        return best;
    }

    void startWaiting(State& state, Instant now, Actions& actions)
    {
        while (auto candidate = nextCandidate(state)) {
            auto& workspace = state.workspaces.at(candidate->workspace);
            auto workClass = candidate->workClass;
            auto next = workspace.callers.end();
            for (auto caller = workspace.callers.begin(); caller != workspace.callers.end(); ++caller) {
                if (caller->second.waiting[workClass].empty())
                    continue;
                if (next == workspace.callers.end() || caller->second.virtualTime < next->second.virtualTime)
                    next = caller;
            }
            auto& queue = next->second.waiting[workClass];
            auto requestId = queue.front().requestId;
            queue.pop_front();
            --workspace.waiting[workClass];
            --state.waiting[workClass];
            start(state, candidate->workspace, next->first, workClass, candidate->pool, requestId, now);
            actions.emplace_back(Start { requestId });
        }
    }

    //! Draws a random delay up to twice the time in which the queue drains, so that shed callers do not return
    //! together.
    Millis retryAfter(const State& state, std::size_t workClass, Random& random)
    {
        int ahead = 1;
        for (std::size_t i = 0; i <= workClass; ++i)
            ahead += state.waiting[i];
        auto drain = Millis(static_cast<std::int64_t>(ahead * state.meanServiceMs / std::max(1, state.config.slots)));
        auto latest = std::clamp(2 * drain, 2 * minRetryAfter, maxRetryAfter);
        return Millis(uniform(random, minRetryAfter.count(), latest.count()));
    }

    //! Removes the newest waiting request of the class. It is taken from the workspace with the most waiting requests
    //! for its weight, and there from the caller with the most waiting requests.
    RequestId evictNewest(State& state, std::size_t workClass)
    {
        auto longest = state.workspaces.end();
        double most = -1;
        for (auto workspace = state.workspaces.begin(); workspace != state.workspaces.end(); ++workspace) {
            double length = workspace->second.waiting[workClass] / workspace->second.share.weight;
            if (workspace->second.waiting[workClass] > 0 && length > most) {
                most = length;
                longest = workspace;
            }
        }
        auto& callers = longest->second.callers;
        auto caller = std::max_element(callers.begin(), callers.end(), [workClass](const auto& a, const auto& b) {
            return a.second.waiting[workClass].size() < b.second.waiting[workClass].size();
        });
        auto requestId = caller->second.waiting[workClass].back().requestId;
        caller->second.waiting[workClass].pop_back();
        --longest->second.waiting[workClass];
        --state.waiting[workClass];
        auto workspaceId = longest->first;
        auto callerId = caller->first;
        eraseIdle(state, workspaceId, callerId);
        return requestId;
    }

    void enforceQueueLimits(State& state, const Arrival& arrival, Random& random, Actions& actions)
    {
        auto workClass = indexOf(arrival.workClass);
        std::optional<std::size_t> fullClass;
        if (state.waiting[workClass] > state.config.maxQueued) {
            fullClass = workClass;
        } else if (waitingTotal(state) > state.config.maxQueuedTotal) {
            for (std::size_t i = 0; i < classCount; ++i) {
                if (state.waiting[i] > 0)
                    fullClass = i; // The last match is the least urgent class with waiting requests.
            }
        }
        if (!fullClass)
            return;
        auto requestId = evictNewest(state, *fullClass);
        auto reason = requestId == arrival.requestId ? ShedReason::QueueFull : ShedReason::Evicted;
        actions.emplace_back(Shed { requestId, reason, retryAfter(state, *fullClass, random) });
    }

} // namespace

Actions configure(State& state, const Config& config, Instant now)
{
    state.config = config;
    for (auto& [id, workspace] : state.workspaces)
        workspace.share = {};
    for (const auto& [id, share] : config.workspaces)
        state.workspaces[id].share = share;
    std::erase_if(state.workspaces,
        [&config](const auto& item) { return !config.workspaces.contains(item.first) && !isActive(item.second); });
    sizePools(state);
    Actions actions;
    startWaiting(state, now, actions);
    return actions;
}

Actions arrive(State& state, const Arrival& arrival, Instant now, Random& random)
{
    Actions actions;
    auto workClass = indexOf(arrival.workClass);
    auto wait = expectedWait(state, arrival.workspace, arrival.caller, arrival.workClass);
    bool isTooLong = wait > state.config.maxQueuedFor;
    if (now + wait >= arrival.deadline || isTooLong) {
        auto reason = isTooLong ? ShedReason::WaitTooLong : ShedReason::DeadlineTooClose;
        actions.emplace_back(Shed { arrival.requestId, reason, retryAfter(state, workClass, random) });
        return actions;
    }
    auto& workspace = addToActive(state, arrival);
    workspace.callers.at(arrival.caller).waiting[workClass].push_back({ arrival.requestId, now, arrival.deadline });
    ++workspace.waiting[workClass];
    ++state.waiting[workClass];
    startWaiting(state, now, actions);
    enforceQueueLimits(state, arrival, random, actions);
    return actions;
}

Actions finish(State& state, RequestId requestId, Instant now)
{
    Actions actions;
    auto found = state.running.find(requestId);
    if (found == state.running.end())
        return actions;
    auto ended = found->second;
    state.running.erase(found);
    auto& workspace = state.workspaces.at(ended.workspace);
    --poolOf(state, ended.pool, ended.workspace, indexOf(ended.workClass)).used;
    --workspace.running;
    --workspace.callers.at(ended.caller).running;
    auto took = std::chrono::duration<double, std::milli>(now - ended.started).count();
    state.meanServiceMs += meanSmoothing * (std::max(0.1, took) - state.meanServiceMs);
    eraseIdle(state, ended.workspace, ended.caller);
    startWaiting(state, now, actions);
    return actions;
}

Actions expire(State& state, Instant now, Random& random)
{
    Actions actions;
    std::vector<std::pair<WorkspaceId, CallerId>> shrunk;
    for (auto& [workspaceId, workspace] : state.workspaces) {
        for (auto& [callerId, caller] : workspace.callers) {
            for (std::size_t i = 0; i < classCount; ++i) {
                auto before = caller.waiting[i].size();
                std::erase_if(caller.waiting[i], [&](const WaitingRequest& waiting) {
                    bool isTooLong = now - waiting.arrived >= state.config.maxQueuedFor;
                    if (!isTooLong && now < waiting.deadline)
                        return false;
                    auto reason = isTooLong ? ShedReason::WaitTooLong : ShedReason::DeadlineTooClose;
                    actions.emplace_back(Shed { waiting.requestId, reason, retryAfter(state, i, random) });
                    return true;
                });
                auto removed = static_cast<int>(before - caller.waiting[i].size());
                if (removed == 0)
                    continue;
                workspace.waiting[i] -= removed;
                state.waiting[i] -= removed;
                shrunk.emplace_back(workspaceId, callerId);
            }
        }
    }
    for (const auto& [workspaceId, callerId] : shrunk) {
        if (state.workspaces.contains(workspaceId))
            eraseIdle(state, workspaceId, callerId);
    }
    return actions;
}

Millis expectedWait(const State& state, const WorkspaceId& workspaceId, const CallerId& callerId, WorkClass workClass)
{
    static const WorkspaceState idleWorkspace;
    auto index = indexOf(workClass);
    auto found = state.workspaces.find(workspaceId);
    const auto& workspace = found == state.workspaces.end() ? idleWorkspace : found->second;
    if (workspace.waiting[index] == 0 && freePool(state, workspace, index))
        return Millis(0);
    // Requests served before it: all more urgent ones of its workspace, and those of its own class, where the callers
    // take turns.
    int ahead = 0;
    for (std::size_t i = 0; i < index; ++i)
        ahead += workspace.waiting[i];
    auto caller = workspace.callers.find(callerId);
    int own = caller == workspace.callers.end() ? 0 : static_cast<int>(caller->second.waiting[index].size());
    int callers = static_cast<int>(workspace.callers.size()) + (caller == workspace.callers.end() ? 1 : 0);
    ahead += std::min(workspace.waiting[index], (own + 1) * callers - 1);
    // The slots that the workspace gets while all active workspaces use their shares.
    double weights = activeWeight(state) + (isActive(workspace) ? 0 : workspace.share.weight);
    double share = workspace.share.weight / weights;
    double slots = workspace.floor.size + share * (state.shared.size + state.classPools[index].size);
    constexpr double maxWaitMs = 3600.0 * 1000;
    double waitMs = (ahead + 1) * state.meanServiceMs / std::max(slots, 0.01);
    return Millis(static_cast<std::int64_t>(std::min(waitMs, maxWaitMs)));
}

} // namespace agatevane::admission
