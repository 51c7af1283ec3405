#include "scheduler/worker_link.h"

#include "agatevane/metrics/process.h"
#include <nlohmann/json.hpp>

namespace agatevane::scheduler {

using shard_owner::CommandAnswered;
using shard_owner::PollFailed;
using shard_owner::ReportArrived;

namespace {

    // A request or response has about 200 bytes of HTTP header lines besides its body.
    constexpr std::uint64_t httpOverheadBytes = 200;

    gang::ReplyStatus statusOf(const http::ClientResult& result)
    {
        if (result.error)
            return gang::ReplyStatus::Unknown;
        switch (result.status) {
        case 200:
            return gang::ReplyStatus::Ok;
        case 404:
            return gang::ReplyStatus::NotFound;
        case 409:
            // Other conflicts, such as a command that does not fit the task's state, say nothing about ownership.
            return result.body.find("stale_epoch") != std::string::npos ? gang::ReplyStatus::StaleEpoch
                                                                        : gang::ReplyStatus::Refused;
        case 400:
        case 410:
        case 422:
        case 503:
            return gang::ReplyStatus::Refused;
        default:
            return gang::ReplyStatus::Unknown;
        }
    }

    const char* pathOf(CommandAnswered::Kind kind)
    {
        switch (kind) {
        case CommandAnswered::Kind::Prepare:
            return "/v1/tasks/prepare";
        case CommandAnswered::Kind::Start:
            return "/v1/tasks/start";
        case CommandAnswered::Kind::Renew:
            return "/v1/tasks/renew";
        case CommandAnswered::Kind::Checkpoint:
            return "/v1/tasks/checkpoint";
        case CommandAnswered::Kind::Stop:
            return "/v1/tasks/stop";
        case CommandAnswered::Kind::Forget:
            return "/v1/tasks/forget";
        }
        return "";
    }

    //! The stand-in worker takes the actual run time of a task from `durationMs` of the start command. The declared run
    //! time is often wrong, so a payload such as {"durationMs": 90000} replaces it.
    StartCommand withActualDuration(StartCommand command)
    {
        auto payload = nlohmann::json::parse(command.payload, nullptr, false);
        if (payload.is_object() && payload.contains("durationMs") && payload["durationMs"].is_number_integer())
            command.durationMs = std::max<std::int64_t>(0, payload["durationMs"].get<std::int64_t>());
        return command;
    }

    std::string bodyOf(const gang::Command& command)
    {
        nlohmann::json json;
        if (const auto* prepare = std::get_if<PrepareCommand>(&command.body))
            json = *prepare;
        else if (const auto* start = std::get_if<StartCommand>(&command.body))
            json = withActualDuration(*start);
        else
            json = std::get<gang::AttemptOrder>(command.body).command;
        return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

} // namespace

CommandAnswered makeUnknownAnswer(const shard_owner::SendCommand& sent)
{
    CommandAnswered answer { .worker = sent.command.worker };
    answer.sentAt = now();
    if (const auto* prepare = std::get_if<PrepareCommand>(&sent.command.body)) {
        answer.kind = CommandAnswered::Kind::Prepare;
        answer.attempt = prepare->attempt;
        answer.epoch = prepare->epoch;
    } else if (const auto* start = std::get_if<StartCommand>(&sent.command.body)) {
        answer.kind = CommandAnswered::Kind::Start;
        answer.attempt = start->attempt;
        answer.epoch = start->epoch;
    } else {
        const auto& order = std::get<gang::AttemptOrder>(sent.command.body);
        answer.kind = order.kind == gang::OrderKind::Stop ? CommandAnswered::Kind::Stop
            : order.kind == gang::OrderKind::Forget       ? CommandAnswered::Kind::Forget
                                                          : CommandAnswered::Kind::Checkpoint;
        answer.attempt = order.command.attempt;
        answer.epoch = order.command.epoch;
    }
    return answer;
}

WorkerLink::WorkerLink(Millis timeout)
    : timeout_(timeout)
{
}

void WorkerLink::setAddress(const WorkerId& worker, const std::string& address)
{
    std::lock_guard lock(mutex_);
    auto& [currentAddress, client] = clients_[worker];
    if (currentAddress == address)
        return;
    currentAddress = address;
    http::Endpoint endpoint;
    client = http::parseEndpoint(address, endpoint) ? std::make_shared<http::Client>(endpoint) : nullptr;
}

std::shared_ptr<http::Client> WorkerLink::findClient(const WorkerId& worker)
{
    std::lock_guard lock(mutex_);
    auto found = clients_.find(worker);
    return found == clients_.end() ? nullptr : found->second.second;
}

shard_owner::Input WorkerLink::poll(const WorkerId& worker)
{
    auto client = findClient(worker);
    if (!client)
        return PollFailed { worker };
    auto sentAt = now();
    auto result = client->request("GET", "/v1/report", "", sentAt + timeout_);
    metrics::countControlBytesSent("worker", httpOverheadBytes);
    metrics::countControlBytesReceived("worker", httpOverheadBytes + result.body.size());
    ReportArrived arrived { .worker = worker };
    arrived.sentAt = sentAt;
    bool isReport = !result.error && result.status == 200 && decode(result.body, arrived.report).empty();
    if (!isReport)
        return PollFailed { worker };
    return arrived;
}

gang::ReplyStatus WorkerLink::post(
    const WorkerId& worker, const std::string& path, const std::string& body, Instant notAfter, Instant& sentAt)
{
    auto client = findClient(worker);
    sentAt = now();
    // The decision module has checked `notAfter` too, but this thread or the whole process may have been paused since.
    if (!client || sentAt >= notAfter)
        return gang::ReplyStatus::Unknown;
    metrics::countControlBytesSent("worker", httpOverheadBytes + body.size());
    auto result = client->request("POST", path, body, sentAt + timeout_, { { "Content-Type", "application/json" } });
    metrics::countControlBytesReceived("worker", httpOverheadBytes + result.body.size());
    return statusOf(result);
}

CommandAnswered WorkerLink::renew(const shard_owner::SendRenewal& renewal)
{
    CommandAnswered answer { .worker = renewal.worker, .kind = CommandAnswered::Kind::Renew };
    answer.epoch = renewal.command.epoch;
    nlohmann::json json = renewal.command;
    answer.status = post(renewal.worker, pathOf(answer.kind), json.dump(), renewal.notAfter, answer.sentAt);
    return answer;
}

CommandAnswered WorkerLink::send(const shard_owner::SendCommand& sent)
{
    auto answer = makeUnknownAnswer(sent);
    answer.status = post(answer.worker, pathOf(answer.kind), bodyOf(sent.command), sent.notAfter, answer.sentAt);
    return answer;
}

} // namespace agatevane::scheduler
