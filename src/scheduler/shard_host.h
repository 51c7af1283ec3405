#pragma once

#include "agatevane/net/rpc.h"
#include "agatevane/shard_owner/shard_owner.h"
#include <atomic>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace agatevane::scheduler {

//! Passes the inputs of one data centre to its decision module, one at a time, from any thread. Executes the resulting
//! actions after the lock is released.
class ShardHost {
public:
    using Execute = std::function<void(ShardHost&, shard_owner::Action&&)>;

    ShardHost(shard_owner::State state, Execute execute);

    void handle(const shard_owner::Input& input);
    void submit(const JobSpec& spec, net::Reply reply);
    void cancel(const JobId& job, net::Reply reply);

    //! Sends `payload` as the reply to a submission or cancellation. Does nothing if `request` has already been
    //! answered.
    void answer(shard_owner::RequestId request, std::string payload);

    //! Sets the schedulers that may own the data centre, with their regions.
    void setCandidates(const std::vector<ownership::Candidate>& candidates);

    //! Calls `function(state)` under the lock.
    template <typename Function> auto read(Function function)
    {
        std::lock_guard lock(mutex_);
        return function(state_);
    }

    const DataCentreId& dataCentre() const { return dataCentre_; }

private:
    shard_owner::RequestId storeReply(net::Reply reply);

    std::mutex mutex_;
    shard_owner::State state_;
    const DataCentreId dataCentre_;
    const Execute execute_;
    std::mutex repliesMutex_;
    std::unordered_map<shard_owner::RequestId, net::Reply> replies_;
    shard_owner::RequestId nextRequest_ = 1;
};

} // namespace agatevane::scheduler
