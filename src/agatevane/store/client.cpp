#include "agatevane/store/client.h"

#include "agatevane/base/error.h"
#include "agatevane/store/codec.h"

namespace agatevane::store {

namespace {

    // A watch message holds all events of one revision; the store's own limit on a transaction is far below this.
    constexpr std::size_t maxWatchMessageBytes = 16 << 20;

    std::error_code errorOfStatus(int status)
    {
        if (status == 200)
            return {};
        // The store answers 4xx before it proposes the change to its replicas. 5xx includes "request timed out", after
        // which the proposed change may still be applied.
        return status >= 400 && status < 500 ? Errc::Refused : Errc::Timeout;
    }

} // namespace

bool hadNoEffect(std::error_code error)
{
    return error == Errc::Unreachable || error == Errc::Refused || error == Errc::Unavailable;
}

struct Client::Endpoints {
    std::vector<std::unique_ptr<http::Client>> clients;
    std::atomic<std::size_t> preferred { 0 };
    std::atomic<bool> watchesAborted { false };

    void preferNextAfter(std::size_t failed)
    {
        // If several callers fail at the same endpoint, only the first of them switches to the next one.
        preferred.compare_exchange_strong(failed, (failed + 1) % clients.size());
    }
};

Client::Client(const std::vector<http::Endpoint>& endpoints)
    : endpoints_(std::make_unique<Endpoints>())
{
    for (const auto& endpoint : endpoints)
        endpoints_->clients.push_back(std::make_unique<http::Client>(endpoint));
}

Client::Client(Transport transport)
    : transport_(std::move(transport))
{
}

Client::~Client() = default;

http::ClientResult Client::send(const std::string& path, const std::string& body, Instant deadline, bool isRead)
{
    if (transport_)
        return transport_(path, body, deadline);
    http::ClientResult answer;
    answer.error = Errc::Unreachable;
    for (std::size_t attempt = 0; attempt < endpoints_->clients.size(); ++attempt) {
        auto index = endpoints_->preferred.load();
        answer = endpoints_->clients[index]->request("POST", path, body, deadline);
        if (!answer.error && answer.status < 500)
            return answer;
        endpoints_->preferNextAfter(index);
        bool mayRepeat = answer.error == Errc::Unreachable || isRead;
        if (!mayRepeat || now() >= deadline)
            return answer;
    }
    return answer;
}

template <typename T> Result<T> Client::call(const char* path, const std::string& body, Instant deadline, bool isRead)
{
    ++(isRead ? reads_ : writes_);
    auto answer = send(path, body, deadline, isRead);
    Result<T> result;
    result.error = answer.error ? answer.error : errorOfStatus(answer.status);
    if (result.error)
        result.detail = errorText(answer.body);
    else if (!decode(answer.body, result.value, result.revision))
        result.error = Errc::Malformed;
    if (result.error)
        ++failures_;
    return result;
}

Result<RangeResult> Client::range(const RangeRequest& request, Instant deadline)
{
    return call<RangeResult>("/v3/kv/range", encode(request), deadline, true);
}

Result<PutResult> Client::put(const PutRequest& request, Instant deadline)
{
    return call<PutResult>("/v3/kv/put", encode(request), deadline, false);
}

Result<DeleteResult> Client::deleteRange(const DeleteRequest& request, Instant deadline)
{
    return call<DeleteResult>("/v3/kv/deleterange", encode(request), deadline, false);
}

Result<TxnResult> Client::txn(const Txn& request, Instant deadline)
{
    return call<TxnResult>("/v3/kv/txn", encode(request), deadline, false);
}

Result<LeaseResult> Client::grantLease(std::int64_t ttlSeconds, Instant deadline)
{
    return call<LeaseResult>("/v3/lease/grant", encodeLeaseGrant(ttlSeconds), deadline, false);
}

Result<LeaseResult> Client::keepLeaseAlive(LeaseId id, Instant deadline)
{
    return call<LeaseResult>("/v3/lease/keepalive", encodeLeaseId(id), deadline, false);
}

Result<LeaseResult> Client::revokeLease(LeaseId id, Instant deadline)
{
    return call<LeaseResult>("/v3/lease/revoke", encodeLeaseId(id), deadline, false);
}

Result<RangeResult> Client::readPrefix(const std::string& prefix, Instant deadline, std::int64_t pageSize)
{
    RangeRequest request { .key = prefix, .rangeEnd = prefixEnd(prefix), .limit = pageSize };
    Result<RangeResult> all;
    while (true) {
        auto page = range(request, deadline);
        if (!page.ok()) {
            all.error = page.error;
            all.detail = std::move(page.detail);
            return all;
        }
        if (request.revision == 0) {
            all.revision = page.revision;
            all.value.count = page.value.count;
            request.revision = page.revision;
        }
        auto& kvs = page.value.kvs;
        all.value.kvs.insert(
            all.value.kvs.end(), std::make_move_iterator(kvs.begin()), std::make_move_iterator(kvs.end()));
        if (!page.value.more || kvs.empty())
            return all;
        request.key = all.value.kvs.back().key + '\0';
    }
}

std::error_code Client::watch(
    const WatchRequest& request, Millis idleTimeout, const std::function<bool(const WatchResponse&)>& onResponse)
{
    if (!endpoints_ || endpoints_->watchesAborted)
        return Errc::Unavailable;
    ++watches_;
    auto index = endpoints_->preferred.load();
    std::string buffer;
    std::error_code error;
    auto onChunk = [&](std::string_view chunk) {
        buffer.append(chunk);
        std::size_t start = 0;
        for (auto end = buffer.find('\n'); end != std::string::npos; end = buffer.find('\n', start)) {
            auto line = std::string_view(buffer).substr(start, end - start);
            start = end + 1;
            if (line.empty())
                continue;
            WatchResponse response;
            if (!decode(line, response)) {
                error = Errc::Malformed;
                return false;
            }
            if (!onResponse(response))
                return false;
        }
        buffer.erase(0, start);
        if (buffer.size() > maxWatchMessageBytes)
            error = Errc::TooLarge;
        return !error && !endpoints_->watchesAborted;
    };
    auto streamError = endpoints_->clients[index]->stream("POST", "/v3/watch", encode(request), idleTimeout, onChunk);
    if (!error)
        error = streamError;
    if (error) {
        ++failures_;
        endpoints_->preferNextAfter(index);
    }
    return error;
}

void Client::abortWatches()
{
    if (!endpoints_)
        return;
    endpoints_->watchesAborted = true;
    for (auto& client : endpoints_->clients)
        client->abortStreams();
}

CallCounts Client::counts() const
{
    return { reads_.load(), writes_.load(), watches_.load(), failures_.load() };
}

} // namespace agatevane::store
