#include "entry/scheduler_client.h"

#include "agatevane/base/error.h"
#include <algorithm>
#include <deque>
#include <thread>

namespace agatevane::entry {

namespace {

    //! Limits each attempt, so that one scheduler that does not answer does not use up the caller's whole deadline.
    constexpr Millis attemptTimeout { 2000 };
    //! Time between two rounds of calls to all schedulers. During a takeover no scheduler owns the data centre for a
    //! few seconds.
    constexpr Millis roundPause { 100 };

    bool isNotOwner(const SubmitJobReply& reply)
    {
        return reply.result == SubmitResult::NotOwner;
    }
    template <typename Reply> bool isNotOwner(const Reply& reply)
    {
        return reply.status == JobReplyStatus::NotOwner;
    }

    MemberId ownerNamedIn(const ListJobsReply&)
    {
        return {};
    }
    template <typename Reply> MemberId ownerNamedIn(const Reply& reply)
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
    return callOwner<SubmitJobReply>(MessageKind::SubmitJob, spec.dataCentre, SubmitJobRequest { spec }, deadline);
}

JobReply SchedulerClient::status(const JobRequest& request, Instant deadline)
{
    return callOwner<JobReply>(MessageKind::JobStatus, request.dataCentre, request, deadline);
}

JobReply SchedulerClient::cancel(const JobRequest& request, Instant deadline)
{
    return callOwner<JobReply>(MessageKind::CancelJob, request.dataCentre, request, deadline);
}

ListJobsReply SchedulerClient::list(const ListJobsRequest& request, Instant deadline)
{
    return callOwner<ListJobsReply>(MessageKind::ListJobs, request.dataCentre, request, deadline);
}

ShardStatusReply SchedulerClient::shardStatus(const DataCentreId& dataCentre, Instant deadline)
{
    return callOwner<ShardStatusReply>(
        MessageKind::ShardStatus, dataCentre, ShardStatusRequest { dataCentre }, deadline);
}

template <typename Reply, typename Request>
Reply SchedulerClient::callOwner(
    MessageKind kind, const DataCentreId& dataCentre, const Request& request, Instant deadline)
{
    auto bytes = net::encode(request);
    bool mayHaveActed = false;
    while (true) {
        auto members = candidateMembers(dataCentre);
        std::deque<MemberId> membersToCall(members.begin(), members.end());
        std::vector<MemberId> calledMembers;
        while (!membersToCall.empty() && now() < deadline) {
            auto member = membersToCall.front();
            membersToCall.pop_front();
            auto client = clients_.find(member);
            if (client == clients_.end()
                || std::find(calledMembers.begin(), calledMembers.end(), member) != calledMembers.end())
                continue;
            calledMembers.push_back(member);
            std::string answer;
            auto error = client->second->callAndWait(
                static_cast<std::uint16_t>(kind), bytes, std::min(deadline, now() + attemptTimeout), answer);
            Reply reply;
            if (error || !net::decode(answer, reply)) {
                mayHaveActed = mayHaveActed || error != Errc::Unreachable;
                clearCachedOwner(dataCentre);
                continue;
            }
            if (!isNotOwner(reply)) {
                cacheOwner(dataCentre, member);
                return reply;
            }
            if (auto owner = ownerNamedIn(reply); !owner.empty())
                membersToCall.push_front(owner);
        }
        if (now() + roundPause >= deadline || clients_.empty())
            break;
        std::this_thread::sleep_for(roundPause);
    }
    Reply reply;
    markUnavailable(reply, mayHaveActed);
    return reply;
}

std::vector<MemberId> SchedulerClient::candidateMembers(const DataCentreId& dataCentre)
{
    std::vector<MemberId> members;
    std::lock_guard lock(mutex_);
    if (auto owner = cachedOwners_.find(dataCentre); owner != cachedOwners_.end())
        members.push_back(owner->second);
    for (const auto& [member, client] : clients_)
        members.push_back(member);
    return members;
}

void SchedulerClient::cacheOwner(const DataCentreId& dataCentre, const MemberId& owner)
{
    std::lock_guard lock(mutex_);
    cachedOwners_[dataCentre] = owner;
}

void SchedulerClient::clearCachedOwner(const DataCentreId& dataCentre)
{
    std::lock_guard lock(mutex_);
    cachedOwners_.erase(dataCentre);
}

} // namespace agatevane::entry
