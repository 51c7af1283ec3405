#include "entry/call_gate.h"

namespace agatevane::entry {

CallGate::CallGate()
    : random_(makeRandom())
{
}

void CallGate::configure(const admission::Config& config)
{
    std::lock_guard lock(mutex_);
    deliver(admission::configure(state_, config, now()));
}

CallGate::Verdict CallGate::enter(admission::Arrival arrival)
{
    Waiter waiter;
    std::unique_lock lock(mutex_);
    arrival.requestId = ++lastTicket_;
    waiters_.emplace(arrival.requestId, &waiter);
    deliver(admission::arrive(state_, arrival, now(), random_));
    waiter.decided.wait(lock, [&waiter] { return waiter.verdict.has_value(); });
    waiters_.erase(arrival.requestId);
    if (const auto* shed = std::get_if<admission::Shed>(&*waiter.verdict))
        return { {}, *shed };
    return { Slot(*this, arrival.requestId), {} };
}

void CallGate::tick()
{
    std::lock_guard lock(mutex_);
    deliver(admission::expire(state_, now(), random_));
}

CallGate::Load CallGate::load() const
{
    std::lock_guard lock(mutex_);
    return { static_cast<int>(state_.running.size()), state_.waiting };
}

void CallGate::leave(admission::RequestId ticket)
{
    std::lock_guard lock(mutex_);
    deliver(admission::finish(state_, ticket, now()));
}

//! The waiters' objects live until they have taken their verdict, which needs the mutex held here.
void CallGate::deliver(const admission::Actions& actions)
{
    for (const auto& action : actions) {
        auto ticket = std::visit([](const auto& decision) { return decision.requestId; }, action);
        auto waiter = waiters_.find(ticket);
        if (waiter == waiters_.end())
            continue;
        waiter->second->verdict = action;
        waiter->second->decided.notify_one();
    }
}

} // namespace agatevane::entry
