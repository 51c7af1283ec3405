#pragma once

#include "agatevane/limits/limits.h"
#include "agatevane/limits/messages.h"
#include "agatevane/net/rpc.h"
#include "entry/settings.h"
#include <memory>
#include <mutex>

namespace agatevane::entry {

//! This VM's shares of the request rate limits of all workspaces, callers and services. Thread-safe.
class LimitTable {
public:
    LimitTable(asio::io_context& context, const MemberId& self, const MemberAddresses& peers);

    //! Sets the limits in requests/s by key, such as "callers/alice", and drops limits that are not in `limits`.
    //! `entryVmCount` is the number of entry VMs that share each limit.
    void configure(const std::map<std::string, double>& limits, int entryVmCount);

    //! Takes a token from each limit, or from none. Returns nothing if every limit had one, otherwise the time to wait
    //! before the next attempt.
    std::optional<Millis> tryAdmit(const std::vector<std::string>& keys);

    //! Asks peers to lend request rate for the limits that need more. Must be called about every 100 ms.
    void borrow();

    //! Answers a peer's borrow request.
    limits::BorrowReply lend(const limits::BorrowRequest& request);

private:
    void handleBorrowReply(const limits::BorrowRequest& request, std::error_code error, const std::string& bytes);

    std::mutex mutex_;
    std::map<std::string, limits::Limit> limits_;
    std::string incarnation_; //!< keeps the ids of borrow requests unique across restarts
    std::uint64_t lastRequestNumber_ = 0;
    Instant startedAt_;
    std::vector<std::unique_ptr<net::RpcClient>> peers_;
};

} // namespace agatevane::entry
