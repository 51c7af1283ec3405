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

//! Finds the scheduler that owns a data centre and sends requests to it. Thread-safe; blocks the calling handler
//! thread.
class SchedulerClient {
public:
    SchedulerClient(asio::io_context& context, const MemberAddresses& schedulers);

    //! Submits a job. Repeats are safe, since the owner recognises the job id. The result is `Unavailable` if the
    //! request reached no scheduler, and `Unknown` if it may have reached an owner whose reply was lost.
    SubmitJobReply submit(const JobSpec& spec, Instant deadline);
    JobReply status(const JobRequest& request, Instant deadline);
    JobReply cancel(const JobRequest& request, Instant deadline);
    ListJobsReply list(const ListJobsRequest& request, Instant deadline);
    ShardStatusReply shardStatus(const DataCentreId& dataCentre, Instant deadline);

private:
    //! Calls candidates, and the owners that they name, until the owner replies or the deadline passes.
    template <typename Reply, typename Request>
    Reply callOwner(MessageKind kind, const DataCentreId& dataCentre, const Request& request, Instant deadline);
    //! Returns the cached owner, if any, and then all schedulers.
    std::vector<MemberId> candidateMembers(const DataCentreId& dataCentre);
    void cacheOwner(const DataCentreId& dataCentre, const MemberId& owner);
    void clearCachedOwner(const DataCentreId& dataCentre);

    std::map<MemberId, std::unique_ptr<net::RpcClient>> clients_;
    std::mutex mutex_;
    std::map<DataCentreId, MemberId> cachedOwners_;
};

} // namespace agatevane::entry
