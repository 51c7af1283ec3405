#pragma once

#include "agatevane/admission/admission.h"
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace agatevane::entry {

//! Admission of one service: handler threads wait here for a slot. Thread-safe.
class CallGate {
public:
    //! Holds a slot until it is destroyed.
    class Slot {
    public:
        Slot() = default;
        Slot(CallGate& gate, admission::RequestId ticket)
            : gate_(&gate)
            , ticket_(ticket)
        {
        }
        Slot(Slot&& other) noexcept
            : gate_(std::exchange(other.gate_, nullptr))
            , ticket_(other.ticket_)
        {
        }
        Slot& operator=(Slot&&) = delete;
        ~Slot()
        {
            if (gate_)
                gate_->leave(ticket_);
        }

        explicit operator bool() const { return gate_ != nullptr; }

    private:
        CallGate* gate_ = nullptr;
        admission::RequestId ticket_ = 0;
    };

    struct Verdict {
        Slot slot; //!< empty if the request was shed
        admission::Shed shed;
    };

    CallGate();

    void configure(const admission::Config& config);

    //! Blocks until the request may start or is shed. The request id is assigned here.
    Verdict enter(admission::Arrival arrival);

    //! Sheds what waits in vain; to be called about every 50 ms.
    void tick();

    struct Load {
        int running = 0;
        std::array<int, admission::classCount> waiting {};
    };
    Load load() const;

private:
    struct Waiter {
        std::condition_variable decided;
        std::optional<admission::Action> verdict;
    };

    void leave(admission::RequestId ticket);
    void deliver(const admission::Actions& actions);

    mutable std::mutex mutex_;
    admission::State state_;
    Random random_;
    admission::RequestId lastTicket_ = 0;
    std::unordered_map<admission::RequestId, Waiter*> waiters_;
};

} // namespace agatevane::entry
