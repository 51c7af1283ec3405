#include "agatevane/fleet/advice.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/runs.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! The service handles the calls of one machine in turn and refuses beyond 32 that wait.
    constexpr int maxInFlight = 4;
    //! Its answer takes longer with each worker named.
    constexpr std::size_t workersPerQuestion = 30;
    constexpr Millis askAgain { 300 };
    //! A ticket that ends sooner may be refused by the time the order arrives.
    constexpr Millis validityMargin { 200 };

    bool isValid(const WorkerTicket& ticket, const Worker& worker, Instant at)
    {
        return ticket.incarnation == worker.incarnation && at + validityMargin < ticket.validUntil;
    }

    bool mayBeAsked(const StepAdvice& advice, const Unit& unit, const Worker& worker, Instant at)
    {
        const auto& spec = unit.spec();
        if (worker.service != unit.job->policy.service)
            return false;
        if (!spec.requiredLabel.empty()
            && std::find(worker.labels.begin(), worker.labels.end(), spec.requiredLabel) == worker.labels.end())
            return false;
        auto asked = advice.asked.find(worker.id);
        if (asked == advice.asked.end() || asked->second != worker.incarnation)
            return true;
        // Which workers may run a step does not change; only tickets end.
        auto ticket = advice.tickets.find(worker.id);
        return ticket != advice.tickets.end() && !isValid(ticket->second, worker, at);
    }

} // namespace

std::set<WorkerId> ticketedWorkers(const Fleet& fleet, const StepId& step, Instant at)
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

void askForTickets(Fleet& fleet, const Unit& unit, const std::vector<Room>& rooms, Instant at)
{
    auto& advice = fleet.advice[unit.id()];
    if (advice.isAsking || at < advice.nextAskAt || fleet.adviceInFlight >= maxInFlight)
        return;
    auto need = roomOf(unit.spec());
    auto rankOf = [&](const Room& room) {
        bool isFar = !unit.spec().dataRack.empty() && room.worker->rack != unit.spec().dataRack;
        return std::tuple(isFar, !fitsWithin(need, room.free), room.worker->id);
    };
    std::vector<const Room*> candidates;
    for (const auto& room : rooms) {
        if (mayBeAsked(advice, unit, *room.worker, at))
            candidates.push_back(&room);
    }
    if (candidates.empty())
        return;
    std::sort(candidates.begin(), candidates.end(),
        [&rankOf](const Room* a, const Room* b) { return rankOf(*a) < rankOf(*b); });
    AdviceRequest order { unit.id(), {} };
    for (const auto* room : candidates) {
        if (order.workers.size() < workersPerQuestion)
            order.workers.emplace_back(room->worker->id, room->worker->incarnation);
    }
    advice.isAsking = true;
    ++fleet.adviceInFlight;
    fleet.adviceDue.push_back(std::move(order));
}

void applyAdvice(Fleet& fleet, const AdviceRequest& order, const AdviceAnswer& answer, Instant sentAt, Instant at)
{
    --fleet.adviceInFlight;
    auto found = fleet.advice.find(order.step);
    if (found == fleet.advice.end())
        return;
    auto& advice = found->second;
    advice.isAsking = false;
    Line("advice")
        .with("job", order.step.job)
        .with("step", order.step.step)
        .with("asked", order.workers.size())
        .with("tickets", answer.tickets.size())
        .with("answered", answer.isAnswered);
    if (!answer.isAnswered) {
        advice.nextAskAt = at + askAgain;
        return;
    }
    std::map<WorkerId, std::int64_t> incarnations(order.workers.begin(), order.workers.end());
    for (const auto& [worker, incarnation] : incarnations)
        advice.asked[worker] = incarnation;
    for (const auto& [worker, value] : answer.tickets) {
        if (auto incarnation = incarnations.find(worker); incarnation != incarnations.end())
            advice.tickets[worker] = { value, incarnation->second, sentAt + answer.validity };
    }
    fleet.isPlacementDue = true;
}

void forgetAdvice(Fleet& fleet, const JobId& job)
{
    auto each = fleet.advice.lower_bound({ job, 0, 0 });
    while (each != fleet.advice.end() && each->first.job == job)
        each = fleet.advice.erase(each);
}

} // namespace agatevane::fleet
