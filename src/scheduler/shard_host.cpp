#include "scheduler/shard_host.h"

namespace agatevane::scheduler {

ShardHost::ShardHost(shard_owner::State state, Execute execute)
    : state_(std::move(state))
    , dataCentre_(state_.owner.dataCentre)
    , execute_(std::move(execute))
{
}

void ShardHost::handle(const shard_owner::Input& input)
{
    std::vector<shard_owner::Action> actions;
    {
        std::lock_guard lock(mutex_);
        actions = shard_owner::step(state_, input, now());
    }
    for (auto& action : actions)
        execute_(*this, std::move(action));
}

void ShardHost::submit(const JobSpec& spec, net::Reply reply)
{
    handle(shard_owner::SubmitArrived { storeReply(std::move(reply)), spec });
}

void ShardHost::cancel(const JobId& job, net::Reply reply)
{
    handle(shard_owner::CancelArrived { storeReply(std::move(reply)), job });
}

void ShardHost::setCandidates(const std::vector<ownership::Candidate>& candidates)
{
    std::lock_guard lock(mutex_);
    state_.owner.candidates = candidates;
}

shard_owner::RequestId ShardHost::storeReply(net::Reply reply)
{
    std::lock_guard lock(repliesMutex_);
    auto request = nextRequest_++;
    replies_.emplace(request, std::move(reply));
    return request;
}

void ShardHost::answer(shard_owner::RequestId request, std::string payload)
{
    net::Reply reply;
    {
        std::lock_guard lock(repliesMutex_);
        auto found = replies_.extract(request);
        if (found.empty())
            return;
        reply = std::move(found.mapped());
    }
    reply(std::move(payload));
}

} // namespace agatevane::scheduler
