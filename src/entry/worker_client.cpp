#include "entry/worker_client.h"

#include "agatevane/base/error.h"
#include "agatevane/base/hash.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace agatevane::entry {

namespace {

    //! Returns whether the answer belongs to the attempt and its length and digest match its headers.
    bool isAnswerIntact(const http::ClientResult& result, const AttemptId& attempt)
    {
        return http::headerOf(result.headers, "Agatevane-Attempt") == attempt.value
            && http::headerOf(result.headers, "Agatevane-Length") == std::to_string(result.body.size())
            && http::headerOf(result.headers, "Agatevane-Digest") == digestOf(result.body);
    }

    //! Returns the reason if the worker refused the call before its start. Such a refusal is a 503 without a digest
    //! header; its body names the reason.
    std::optional<CallOutcome> refusalOf(const http::ClientResult& result)
    {
        if (result.status != 503 || !http::headerOf(result.headers, "Agatevane-Digest").empty())
            return std::nullopt;
        if (result.body.find("leaving") != std::string::npos)
            return CallOutcome::Leaving;
        if (result.body.find("full") != std::string::npos)
            return CallOutcome::Full;
        return std::nullopt;
    }

} // namespace

std::string basePathOf(const std::string& address)
{
    auto slash = address.find('/');
    return slash == std::string::npos ? std::string() : address.substr(slash);
}

WorkerAnswer WorkerClient::call(const std::string& address, const AttemptId& attempt, const ServiceId& service,
    const std::string& body, Instant deadline)
{
    auto client = clientOf(address);
    if (!client)
        return {};
    nlohmann::json message { { "attempt", attempt.value }, { "service", service.value }, { "body", body } };
    auto result = client->request("POST", basePathOf(address) + "/v1/calls", message.dump(), deadline,
        { { "Agatevane-Attempt", attempt.value } });
    if (result.error == Errc::Unreachable)
        return {};
    if (result.error)
        return { .outcome = result.error == Errc::Timeout ? CallOutcome::TimedOut : CallOutcome::InvalidAnswer };
    if (auto refusal = refusalOf(result))
        return { .outcome = *refusal, .status = result.status };
    if (!isAnswerIntact(result, attempt))
        return { .outcome = CallOutcome::InvalidAnswer, .status = result.status };
    return { CallOutcome::Answered, result.status, http::headerOf(result.headers, "Content-Type"),
        std::move(result.body) };
}

bool WorkerClient::report(const std::string& address, Instant deadline, WorkerReport& report)
{
    auto client = clientOf(address);
    if (!client)
        return false;
    auto result = client->request("GET", basePathOf(address) + "/v1/report", "", deadline);
    return !result.error && result.status == 200 && decode(result.body, report).empty();
}

void WorkerClient::dropClientsExcept(const std::vector<std::string>& addresses)
{
    std::lock_guard lock(mutex_);
    std::erase_if(clients_, [&addresses](const auto& item) {
        return std::find(addresses.begin(), addresses.end(), item.first) == addresses.end();
    });
}

std::shared_ptr<http::Client> WorkerClient::clientOf(const std::string& address)
{
    std::lock_guard lock(mutex_);
    auto& client = clients_[address];
    if (!client) {
        http::Endpoint endpoint;
        if (!http::parseEndpoint(address.substr(0, address.find('/')), endpoint))
            return nullptr;
        client = std::make_shared<http::Client>(endpoint);
    }
    return client;
}

} // namespace agatevane::entry
