#include "agatevane/http/client.h"

#include "agatevane/base/error.h"
#include <algorithm>
#include <charconv>
#include <httplib.h>
#include <mutex>
#include <set>
#include <vector>

namespace agatevane::http {

namespace {

    constexpr std::size_t maxIdleConnections = 64;
    constexpr Millis connectTimeout { 1000 };

    std::error_code toError(httplib::Error error)
    {
        switch (error) {
        case httplib::Error::Success:
            return {};
        case httplib::Error::Connection:
        case httplib::Error::BindIPAddress:
        case httplib::Error::ConnectionTimeout:
        case httplib::Error::SSLConnection:
        case httplib::Error::SSLLoadingCerts:
        case httplib::Error::SSLServerVerification:
            return Errc::Unreachable;
        default:
            return Errc::Disconnected;
        }
    }

    httplib::Headers toHeaders(const Headers& from)
    {
        return { from.begin(), from.end() };
    }

} // namespace

bool parseEndpoint(std::string_view text, Endpoint& endpoint)
{
    Endpoint parsed;
    for (std::string_view scheme : { "https://", "http://" }) {
        if (text.starts_with(scheme)) {
            parsed.useTls = scheme == "https://";
            text.remove_prefix(scheme.size());
            break;
        }
    }
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    auto digits = text.substr(colon + 1);
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), parsed.port);
    if (error != std::errc() || end != digits.data() + digits.size() || parsed.port < 1 || parsed.port > 65535)
        return false;
    parsed.address = std::string(text.substr(0, colon));
    endpoint = std::move(parsed);
    return true;
}

struct Client::State {
    Endpoint endpoint;
    std::mutex mutex;
    std::vector<std::unique_ptr<httplib::Client>> idle;
    std::set<httplib::Client*> streaming;

    std::unique_ptr<httplib::Client> acquire()
    {
        {
            std::lock_guard lock(mutex);
            if (!idle.empty()) {
                auto client = std::move(idle.back());
                idle.pop_back();
                return client;
            }
        }
        auto scheme = endpoint.useTls ? "https://" : "http://";
        auto client
            = std::make_unique<httplib::Client>(scheme + endpoint.address + ":" + std::to_string(endpoint.port));
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(connectTimeout);
        if (endpoint.useTls) {
            if (!endpoint.caFile.empty())
                client->set_ca_cert_path(endpoint.caFile);
            client->enable_server_certificate_verification(!endpoint.caFile.empty());
        }
        return client;
    }

    void recycle(std::unique_ptr<httplib::Client> client)
    {
        std::lock_guard lock(mutex);
        if (idle.size() < maxIdleConnections)
            idle.push_back(std::move(client));
    }
};

Client::Client(const Endpoint& endpoint)
    : state_(std::make_unique<State>())
{
    state_->endpoint = endpoint;
}

Client::~Client() = default;

const Endpoint& Client::endpoint() const
{
    return state_->endpoint;
}

ClientResult Client::request(const std::string& method, const std::string& path, const std::string& body,
    Instant deadline, const Headers& headers)
{
    auto start = now();
    if (start >= deadline)
        return { .error = Errc::Unreachable, .status = 0, .headers = {}, .body = {} };
    auto client = state_->acquire();
    // Rounded up, so that a read that times out ends after the deadline and is not taken for a broken connection.
    auto timeout = std::chrono::ceil<Millis>(deadline - start) + Millis(1);
    client->set_connection_timeout(std::min(connectTimeout, timeout));
    client->set_read_timeout(timeout);
    client->set_write_timeout(timeout);

    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = toHeaders(headers);
    request.body = body;
    if (!body.empty() && !request.has_header("Content-Type"))
        request.set_header("Content-Type", "application/json");

    auto result = client->send(request);
    ClientResult answer;
    if (!result) {
        answer.error = toError(result.error());
        if (answer.error == Errc::Disconnected && now() >= deadline)
            answer.error = Errc::Timeout;
        return answer; // A failed connection is not reused.
    }
    answer.status = result->status;
    answer.headers.insert(result->headers.begin(), result->headers.end());
    answer.body = std::move(result->body);
    state_->recycle(std::move(client));
    return answer;
}

std::error_code Client::stream(const std::string& method, const std::string& path, const std::string& body,
    Millis idleTimeout, const std::function<bool(std::string_view)>& onChunk)
{
    auto client = state_->acquire();
    client->set_keep_alive(false);
    client->set_read_timeout(idleTimeout);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.set_header("Content-Type", "application/json");
    request.content_receiver
        = [&](const char* data, size_t size, uint64_t, uint64_t) { return onChunk(std::string_view(data, size)); };
    {
        std::lock_guard lock(state_->mutex);
        state_->streaming.insert(client.get());
    }
    auto result = client->send(request);
    {
        std::lock_guard lock(state_->mutex);
        state_->streaming.erase(client.get());
    }
    if (!result)
        return result.error() == httplib::Error::Canceled ? std::error_code() : toError(result.error());
    return {};
}

void Client::abortStreams()
{
    std::lock_guard lock(state_->mutex);
    for (auto* client : state_->streaming)
        client->stop();
}

} // namespace agatevane::http
