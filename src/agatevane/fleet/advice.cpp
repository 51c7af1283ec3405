#include "agatevane/fleet/advice.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/runs.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! The service handles the requests of one machine one by one, and refuses requests while 32 wait.
    constexpr int maxRequestsInFlight = 4;
    //! The service's answer takes longer for each worker in the request.
    constexpr std::size_t maxWorkersPerRequest = 30;
    constexpr Millis retryDelay { 300 };
    //! A ticket with less validity left may have expired when the start order arrives.
    constexpr Millis validityMargin { 200 };

    bool isValid(const WorkerTicket& ticket, const Worker& worker, Instant at)
    {
        return ticket.incarnation == worker.incarnation && at + validityMargin < ticket.validUntil;
    }

    bool shouldAskAbout(const StepAdvice& advice, const PendingStep& pending, const Worker& worker, Instant at)
    {
        const auto& spec = pending.spec();
        if (worker.service != pending.job->policy.service)
            return false;
        if (!spec.requiredLabel.empty()
            && std::find(worker.labels.begin(), worker.labels.end(), spec.requiredLabel) == worker.labels.end())
            return false;
        auto askedIncarnations = advice.askedIncarnations.find(worker.id);
        if (askedIncarnations == advice.askedIncarnations.end() || askedIncarnations->second != worker.incarnation)
            return true;
        // The workers that may run a step don't change; only their tickets expire.
        auto ticket = advice.tickets.find(worker.id);
        return ticket != advice.tickets.end() && !isValid(ticket->second, worker, at);
    }

} // namespace

std::set<WorkerId> workersWithTicket(const Fleet& fleet, const StepId& step, Instant at)
{
    std::set<WorkerId> workers;
    auto found = fleet.advice.find(step);
    if (found == fleet.advice.end())
        return workers;
    for (const auto& [id, ticket] : found->second.tickets) {
        auto worker = fleet.workers.find(id);
        if (worker != fleet.workers.end() && isValid(ticket, worker->second, at))
            workers.insert(id);
    }
    return workers;
}

std::string ticketOf(const Fleet& fleet, const StepId& step, const Worker& worker, Instant at)
{
    auto found = fleet.advice.find(step);
    if (found == fleet.advice.end())
        return {};
    auto ticket = found->second.tickets.find(worker.id);
    return ticket != found->second.tickets.end() && isValid(ticket->second, worker, at) ? ticket->second.value : "";
}

void requestTickets(Fleet& fleet, const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms, Instant at)
{
    auto& advice = fleet.advice[pending.id()];
    if (advice.isRequestInFlight || at < advice.nextRequestAt || fleet.adviceRequestsInFlight >= maxRequestsInFlight)
        return;
    auto need = reservedCapacity(pending.spec());
    auto rankOf = [&](const WorkerHeadroom& headroom) {
        bool isFar = !pending.spec().dataRack.empty() && headroom.worker->rack != pending.spec().dataRack;
        return std::tuple(isFar, !fitsWithin(need, headroom.free), headroom.worker->id);
    };
    std::vector<const WorkerHeadroom*> candidates;
    for (const auto& headroom : headrooms) {
        if (shouldAskAbout(advice, pending, *headroom.worker, at))
            candidates.push_back(&headroom);
    }
    if (candidates.empty())
        return;
    std::sort(candidates.begin(), candidates.end(),
        [&rankOf](const WorkerHeadroom* a, const WorkerHeadroom* b) { return rankOf(*a) < rankOf(*b); });
    AdviceRequest order { pending.id(), {} };
    for (const auto* headroom : candidates) {
        if (order.workers.size() < maxWorkersPerRequest)
            order.workers.emplace_back(headroom->worker->id, headroom->worker->incarnation);
    }
    advice.isRequestInFlight = true;
    ++fleet.adviceRequestsInFlight;
    fleet.dueAdviceRequests.push_back(std::move(order));
}

void applyAdvice(Fleet& fleet, const AdviceRequest& order, const AdviceAnswer& answer, Instant sentAt, Instant at)
{
    --fleet.adviceRequestsInFlight;
    auto found = fleet.advice.find(order.step);
    if (found == fleet.advice.end())
        return;
    auto& advice = found->second;
    advice.isRequestInFlight = false;
    Line("advice")
        .with("job", order.step.job)
        .with("step", order.step.step)
        .with("asked", order.workers.size())
        .with("tickets", answer.tickets.size())
        .with("answered", answer.isAnswered);
    if (!answer.isAnswered) {
        advice.nextRequestAt = at + retryDelay;
        return;
    }
    std::map<WorkerId, std::int64_t> incarnations(order.workers.begin(), order.workers.end());
    for (const auto& [worker, incarnation] : incarnations)
        advice.askedIncarnations[worker] = incarnation;
    for (const auto& [worker, value] : answer.tickets) {
        if (auto incarnation = incarnations.find(worker); incarnation != incarnations.end())
            advice.tickets[worker] = { value, incarnation->second, sentAt + answer.validity };
    }
    fleet.isPlacementDue = true;
}

void removeAdvice(Fleet& fleet, const JobId& job)
{
    auto each = fleet.advice.lower_bound({ job, 0, 0 });
    while (each != fleet.advice.end() && each->first.job == job)
        each = fleet.advice.erase(each);
}

} // namespace agatevane::fleet
