#pragma once

#include "agatevane/limits/limits.h"
#include "agatevane/limits/messages.h"
#include "agatevane/net/rpc.h"
#include "entry/settings.h"
#include <memory>
#include <mutex>

namespace agatevane::entry {

//! The shared limits of all workspaces, callers and services at this VM. Thread-safe.
class LimitTable {
public:
    LimitTable(asio::io_context& context, const MemberId& self, const MemberAddresses& peers);

    //! Limits by key, such as "callers/alice"; those that are missing are dropped.
    void configure(const std::map<std::string, double>& limits, int members);

    //! Takes a token from each limit, or from none. Nothing if all had one, else when to come again.
    std::optional<Millis> tryAdmit(const std::vector<std::string>& keys);

    //! Asks peers for what this VM lacks; to be called about every 100 ms.
    void borrow();

    //! The answer to a peer's request.
    limits::BorrowReply lend(const limits::BorrowRequest& request);

private:
    void onReply(const limits::BorrowRequest& request, std::error_code error, const std::string& bytes);

    std::mutex mutex_;
    std::map<std::string, limits::Limit> limits_;
    std::string incarnation_; //!< makes the ids of requests unique over restarts
    std::uint64_t lastNumber_ = 0;
    Instant started_;
    std::vector<std::unique_ptr<net::RpcClient>> peers_;
};

} // namespace agatevane::entry
