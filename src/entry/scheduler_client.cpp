#include "entry/scheduler_client.h"

#include "agatevane/base/error.h"
#include <algorithm>
#include <deque>
#include <thread>

namespace agatevane::entry {

namespace {

    //! One scheduler that does not answer must not use up the caller's whole deadline.
    constexpr Millis attemptTimeout { 2000 };
    //! During a takeover no scheduler owns the data centre for a few seconds.
    constexpr Millis roundPause { 100 };

    bool isNotOwner(const SubmitJobReply& reply)
    {
        return reply.result == SubmitResult::NotOwner;
    }
    template <typename Reply> bool isNotOwner(const Reply& reply)
    {
        return reply.status == JobReplyStatus::NotOwner;
    }

    MemberId ownerNamedBy(const ListJobsReply&)
    {
        return {};
    }
    template <typename Reply> MemberId ownerNamedBy(const Reply& reply)
    {
        return reply.owner;
    }

    void markUnavailable(SubmitJobReply& reply, bool mayHaveActed)
    {
        reply.result = mayHaveActed ? SubmitResult::Unknown : SubmitResult::Unavailable;
        reply.reason = "no owner of the data centre answered";
    }
    template <typename Reply> void markUnavailable(Reply& reply, bool mayHaveActed)
    {
        reply.status = mayHaveActed ? JobReplyStatus::Unknown : JobReplyStatus::Unavailable;
    }

} // namespace

SchedulerClient::SchedulerClient(asio::io_context& context, const MemberAddresses& schedulers)
{
    for (const auto& [member, address] : schedulers)
        clients_.emplace(member, std::make_unique<net::RpcClient>(context, address));
}

SubmitJobReply SchedulerClient::submit(const JobSpec& spec, Instant deadline)
{
    return ask<SubmitJobReply>(MessageKind::SubmitJob, spec.dataCentre, SubmitJobRequest { spec }, deadline);
}

JobReply SchedulerClient::status(const JobRequest& request, Instant deadline)
{
    return ask<JobReply>(MessageKind::JobStatus, request.dataCentre, request, deadline);
}

JobReply SchedulerClient::cancel(const JobRequest& request, Instant deadline)
{
    return ask<JobReply>(MessageKind::CancelJob, request.dataCentre, request, deadline);
}

ListJobsReply SchedulerClient::list(const ListJobsRequest& request, Instant deadline)
{
    return ask<ListJobsReply>(MessageKind::ListJobs, request.dataCentre, request, deadline);
}

ShardStatusReply SchedulerClient::shardStatus(const DataCentreId& dataCentre, Instant deadline)
{
    return ask<ShardStatusReply>(MessageKind::ShardStatus, dataCentre, ShardStatusRequest { dataCentre }, deadline);
}

template <typename Reply, typename Request>
Reply SchedulerClient::ask(MessageKind kind, const DataCentreId& dataCentre, const Request& request, Instant deadline)
{
    auto bytes = net::encode(request);
    bool mayHaveActed = false;
    while (true) {
        auto members = candidates(dataCentre);
        std::deque<MemberId> order(members.begin(), members.end());
        std::vector<MemberId> asked;
        while (!order.empty() && now() < deadline) {
            auto member = order.front();
            order.pop_front();
            auto client = clients_.find(member);
            if (client == clients_.end() || std::find(asked.begin(), asked.end(), member) != asked.end())
                continue;
            asked.push_back(member);
            std::string answer;
            auto error = client->second->callAndWait(
                static_cast<std::uint16_t>(kind), bytes, std::min(deadline, now() + attemptTimeout), answer);
            Reply reply;
            if (error || !net::decode(answer, reply)) {
                mayHaveActed = mayHaveActed || error != Errc::Unreachable;
                forgetOwner(dataCentre);
                continue;
            }
            if (!isNotOwner(reply)) {
                rememberOwner(dataCentre, member);
                return reply;
            }
            if (auto owner = ownerNamedBy(reply); !owner.empty())
                order.push_front(owner);
        }
        if (now() + roundPause >= deadline || clients_.empty())
            break;
        std::this_thread::sleep_for(roundPause);
    }
    Reply reply;
    markUnavailable(reply, mayHaveActed);
    return reply;
}

std::vector<MemberId> SchedulerClient::candidates(const DataCentreId& dataCentre)
{
    std::vector<MemberId> members;
    std::lock_guard lock(mutex_);
    if (auto owner = owners_.find(dataCentre); owner != owners_.end())
        members.push_back(owner->second);
    for (const auto& [member, client] : clients_)
        members.push_back(member);
    return members;
}

void SchedulerClient::rememberOwner(const DataCentreId& dataCentre, const MemberId& owner)
{
    std::lock_guard lock(mutex_);
    owners_[dataCentre] = owner;
}

void SchedulerClient::forgetOwner(const DataCentreId& dataCentre)
{
    std::lock_guard lock(mutex_);
    owners_.erase(dataCentre);
}

} // namespace agatevane::entry
