//! The interfaces of the modelled workers: polls, and orders, which may be carried out late and unanswered.
#include "agatevane/json/reader.h"
#include "platform/wire.h"
#include "standins/platform/platform_server.h"
#include "standins/platform/replies.h"

namespace agatevane::standin {

namespace {

    using event_http::Request;
    using nlohmann::json;

    const char* reasonOf(const StartOutcome& outcome)
    {
        if (outcome.isFenced)
            return "fence";
        return outcome.outcome == fleet::OrderOutcome::Late ? "late" : "old";
    }

} // namespace

void PlatformServer::handleWorker(const fleet::WorkerId& worker, const Request& request, const Respond& respond)
{
    if (!workers_.isUp(worker))
        return;
    auto body = json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        return respond(reply(platform::statusBadRequest));
    if (event_http::headerOf(request.headers, "x-agatevane-expected-instance") != worker)
        return respond(reply(platform::statusMisdirectedRequest));
    if (request.target == "/api/hold")
        return handlePoll(worker, body, respond);
    if (auto unansweredDelayMs = endpoints_.at(worker).unansweredDelayMs; unansweredDelayMs > 0) {
        auto arrivedMs = modelMillis();
        return runAfter(unansweredDelayMs, [this, worker, target = request.target, body, arrivedMs] {
            if (workers_.isUp(worker))
                executeOrder(worker, target, body, arrivedMs);
        });
    }
    respond(executeOrder(worker, request.target, body, modelMillis()));
}

event_http::Response PlatformServer::executeOrder(
    const fleet::WorkerId& worker, const std::string& target, const json& body, std::int64_t arrivedMs)
{
    auto task = platform::decodeTaskName(platform::textOrEmpty(body, "task"));
    if (!task)
        return reply(platform::statusBadRequest);
    auto run = static_cast<fleet::RunNumber>(platform::integerOr(body, "run", 0));
    auto token = static_cast<std::uint64_t>(platform::integerOr(body, "fencingToken", 0));
    StartOutcome outcome;
    if (target == "/api/run-start")
        outcome = workers_.start(
            { worker, {}, *task, run, platform::textOrEmpty(body, "specification"),
                platform::textOrEmpty(body, "checkpoint"), {}, platform::integerOr(body, "untilMs", 0), token },
            modelMillis(), arrivedMs);
    else if (target == "/api/pace")
        outcome = workers_.pace(
            { worker, {}, *task, run, static_cast<int>(platform::integerOr(body, "percent", 0)), token },
            modelMillis());
    else
        outcome = workers_.stop({ worker, {}, *task, run, token }, modelMillis());
    bool isRefused = outcome.isFenced || outcome.outcome != fleet::OrderOutcome::Done;
    return isRefused ? reply(platform::statusConflict, { { "reason", reasonOf(outcome) } }) : reply(platform::statusOk);
}

void PlatformServer::handlePoll(const fleet::WorkerId& worker, const json& body, const Respond& respond)
{
    fleet::PollOrder order;
    order.worker = worker;
    order.lastAcknowledgedEnd = platform::integerOr(body, "lastSeen", 0);
    order.fencingToken = static_cast<std::uint64_t>(platform::integerOr(body, "fencingToken", 0));
    if (body.contains("untilMs"))
        order.leaseUntilMs = platform::integerOr(body, "untilMs", 0);
    auto incarnation = workers_.listing(worker).incarnation;
    answerPoll(worker, incarnation, order, modelMillis() + platform::integerOr(body, "waitMs", 0), respond);
}

void PlatformServer::answerPoll(const fleet::WorkerId& worker, std::int64_t incarnation, const fleet::PollOrder& order,
    std::int64_t untilMs, const Respond& respond)
{
    // A waiting poll gets no answer once the worker incarnation that it was sent to has ended.
    if (!workers_.isUp(worker) || workers_.listing(worker).incarnation != incarnation)
        return;
    auto outcome = workers_.poll(order, modelMillis());
    if (outcome.isFenced)
        return respond(reply(platform::statusConflict, { { "reason", "fence" } }));
    if (outcome.answer.ended.empty() && modelMillis() < untilMs) {
        auto timer = std::make_shared<node::Timer>(context_);
        timer->arm(recheckInterval, [this, timer, worker, incarnation, order, untilMs, respond] {
            answerPoll(worker, incarnation, order, untilMs, respond);
        });
        return;
    }
    auto running = json::array();
    for (const auto& each : outcome.answer.running)
        running.push_back({ platform::encodeTaskName(each.key.first), each.key.second, each.checkpoint, each.percent,
            each.recentMeasurement });
    auto ended = json::array();
    for (const auto& each : outcome.answer.ended)
        ended.push_back({ each.number, platform::encodeTaskName(each.key.first), each.key.second,
            std::string(nameOf(each.kind)), each.checkpoint });
    respond(reply(platform::statusOk,
        { { "clockMs", outcome.answer.clockMs }, { "born", outcome.answer.incarnation }, { "running", running },
            { "ended", ended } }));
}

} // namespace agatevane::standin
