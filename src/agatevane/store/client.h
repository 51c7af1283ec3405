#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/http/client.h"
#include "agatevane/store/messages.h"
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace agatevane::store {

//! An answer of the store. A write that ended with `Unreachable` or `Refused` had no effect. After `Timeout`,
//! `Disconnected` or `Malformed` its effect is unknown and has to be read back from the store.
template <typename T> struct Result {
    std::error_code error;
    T value;
    Revision revision = 0; //!< the revision of the store when it answered
    std::string detail; //!< the error message of the store

    bool ok() const { return !error; }
};

//! Numbers of calls since the client was created. The platform counts every call; an open watch counts as one.
struct CallCounts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0; //!< put, transaction, delete and lease calls
    std::uint64_t watches = 0;
    std::uint64_t failures = 0; //!< calls that ended with an error
};

//! Whether a write that ended with `error` certainly had no effect.
bool hadNoEffect(std::error_code error);

//! A thread-safe client of the store. Calls block until the answer or the deadline.
class Client {
public:
    //! Sends `body` to `path` of one endpoint. Tests use it in place of HTTP.
    using Transport
        = std::function<http::ClientResult(const std::string& path, const std::string& body, Instant deadline)>;

    //! Uses the first endpoint that can be reached until a call to it fails. `endpoints` must not be empty.
    explicit Client(const std::vector<http::Endpoint>& endpoints);
    //! For tests. Such a client has no watches: `watch` returns `Errc::Unavailable`.
    explicit Client(Transport transport);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    Result<RangeResult> range(const RangeRequest& request, Instant deadline);
    Result<PutResult> put(const PutRequest& request, Instant deadline);
    Result<DeleteResult> deleteRange(const DeleteRequest& request, Instant deadline);
    Result<TxnResult> txn(const Txn& request, Instant deadline);
    Result<LeaseResult> grantLease(std::int64_t ttlSeconds, Instant deadline);
    Result<LeaseResult> keepLeaseAlive(LeaseId id, Instant deadline);
    Result<LeaseResult> revokeLease(LeaseId id, Instant deadline);

    //! Reads all keys that start with `prefix` as of one revision, in pages of `pageSize` keys. The `revision` of the
    //! result is that revision.
    Result<RangeResult> readPrefix(const std::string& prefix, Instant deadline, std::int64_t pageSize = 1000);

    //! Delivers messages until `onResponse` returns false (no error), the connection fails, nothing arrives for
    //! `idleTimeout`, or `abortWatches` is called.
    std::error_code watch(
        const WatchRequest& request, Millis idleTimeout, const std::function<bool(const WatchResponse&)>& onResponse);

    //! Ends all open watches of this client and makes later ones fail at once; called before shutdown.
    void abortWatches();

    CallCounts counts() const;

private:
    struct Endpoints;

    template <typename T> Result<T> call(const char* path, const std::string& body, Instant deadline, bool isRead);
    http::ClientResult send(const std::string& path, const std::string& body, Instant deadline, bool isRead);

    std::unique_ptr<Endpoints> endpoints_;
    Transport transport_;
    std::atomic<std::uint64_t> reads_ { 0 };
    std::atomic<std::uint64_t> writes_ { 0 };
    std::atomic<std::uint64_t> watches_ { 0 };
    std::atomic<std::uint64_t> failures_ { 0 };
};

} // namespace agatevane::store
