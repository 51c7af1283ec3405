#pragma once

#include "agatevane/http/client.h"
#include "agatevane/shard_owner/messages.h"
#include <map>
#include <memory>
#include <mutex>

namespace agatevane::scheduler {

//! Calls workers over HTTP. Thread-safe; each call blocks until the answer or the timeout.
class WorkerLink {
public:
    explicit WorkerLink(Millis timeout);

    void setAddress(const WorkerId& worker, const std::string& address);

    shard_owner::Input poll(const WorkerId& worker);
    shard_owner::CommandAnswered renew(const shard_owner::SendRenewal& renewal);
    shard_owner::CommandAnswered send(const shard_owner::SendCommand& command);

private:
    std::shared_ptr<http::Client> findClient(const WorkerId& worker);
    gang::ReplyStatus post(
        const WorkerId& worker, const std::string& path, const std::string& body, Instant notAfter, Instant& sentAt);

    const Millis timeout_;
    std::mutex mutex_;
    std::map<WorkerId, std::pair<std::string, std::shared_ptr<http::Client>>> clients_;
};

//! The answer to `command` with the status Unknown. WorkerLink::send() sets the status once the worker has answered.
shard_owner::CommandAnswered makeUnknownAnswer(const shard_owner::SendCommand& command);

} // namespace agatevane::scheduler
