#include "entry/call_gate.h"

namespace agatevane::entry {

CallGate::CallGate()
    : random_(makeRandom())
{
}

void CallGate::configure(const admission::Config& config)
{
    std::lock_guard lock(mutex_);
    applyActions(admission::configure(state_, config, now()));
}

CallGate::Decision CallGate::enter(admission::Arrival arrival)
{
    Waiter waiter;
    std::unique_lock lock(mutex_);
    arrival.requestId = ++lastRequestId_;
    waiters_.emplace(arrival.requestId, &waiter);
    applyActions(admission::arrive(state_, arrival, now(), random_));
    waiter.decided.wait(lock, [&waiter] { return waiter.decision.has_value(); });
    waiters_.erase(arrival.requestId);
    if (const auto* shed = std::get_if<admission::Shed>(&*waiter.decision))
        return { {}, *shed };
    return { Slot(*this, arrival.requestId), {} };
}

void CallGate::tick()
{
    std::lock_guard lock(mutex_);
    applyActions(admission::expire(state_, now(), random_));
}

CallGate::Load CallGate::load() const
{
    std::lock_guard lock(mutex_);
    return { static_cast<int>(state_.running.size()), state_.waiting };
}

void CallGate::releaseSlot(admission::RequestId requestId)
{
    std::lock_guard lock(mutex_);
    applyActions(admission::finish(state_, requestId, now()));
}

//! Passes each decision to the waiting thread. Called with the mutex held, so that the waiter's object, which lives on
//! that thread's stack, exists while it is used: the thread needs the mutex to take its decision.
void CallGate::applyActions(const admission::Actions& actions)
{
    for (const auto& action : actions) {
        auto requestId = std::visit([](const auto& alternative) { return alternative.requestId; }, action);
        auto waiter = waiters_.find(requestId);
        if (waiter == waiters_.end())
            continue;
        waiter->second->decision = action;
        waiter->second->decided.notify_one();
    }
}

} // namespace agatevane::entry
