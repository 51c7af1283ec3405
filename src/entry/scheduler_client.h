#pragma once

#include "agatevane/base/id.h"
#include "agatevane/net/archive.h"
#include "agatevane/net/rpc.h"
#include "agatevane/peer_api/messages.h"
#include "entry/settings.h"
#include <memory>
#include <mutex>
#include <vector>

namespace agatevane::entry {

//! Finds the scheduler that owns a data centre and asks it. Thread-safe; blocks the calling handler thread.
class SchedulerClient {
public:
    SchedulerClient(asio::io_context& context, const MemberAddresses& schedulers);

    //! Repeats of a submission are safe, since the owner recognises the job id. `Unavailable` if it reached nobody,
    //! `Unknown` if it may have reached an owner whose reply was lost.
    SubmitJobReply submit(const JobSpec& spec, Instant deadline);
    JobReply status(const JobRequest& request, Instant deadline);
    JobReply cancel(const JobRequest& request, Instant deadline);
    ListJobsReply list(const ListJobsRequest& request, Instant deadline);
    ShardStatusReply shardStatus(const DataCentreId& dataCentre, Instant deadline);

private:
    template <typename Reply, typename Request>
    Reply ask(MessageKind kind, const DataCentreId& dataCentre, const Request& request, Instant deadline);
    std::vector<MemberId> candidates(const DataCentreId& dataCentre);
    void rememberOwner(const DataCentreId& dataCentre, const MemberId& owner);
    void forgetOwner(const DataCentreId& dataCentre);

    std::map<MemberId, std::unique_ptr<net::RpcClient>> clients_;
    std::mutex mutex_;
    std::map<DataCentreId, MemberId> owners_;
};

} // namespace agatevane::entry
