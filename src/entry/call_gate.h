#pragma once

#include "agatevane/admission/admission.h"
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace agatevane::entry {

//! Controls admission to one service: handler threads wait here until their request gets a slot or is shed.
//! Thread-safe.
class CallGate {
public:
    //! Releases its slot when it is destroyed.
    class Slot {
    public:
        Slot() = default;
        Slot(CallGate& gate, admission::RequestId requestId)
            : gate_(&gate)
            , requestId_(requestId)
        {
        }
        Slot(Slot&& other) noexcept
            : gate_(std::exchange(other.gate_, nullptr))
            , requestId_(other.requestId_)
        {
        }
        Slot& operator=(Slot&&) = delete;
        ~Slot()
        {
            if (gate_)
                gate_->releaseSlot(requestId_);
        }

        explicit operator bool() const { return gate_ != nullptr; }

    private:
        CallGate* gate_ = nullptr;
        admission::RequestId requestId_ = 0;
    };

    struct Decision {
        Slot slot; //!< empty if the request was shed
        admission::Shed shed;
    };

    CallGate();

    void configure(const admission::Config& config);

    //! Blocks until the request may start or is shed. The request id is assigned here.
    Decision enter(admission::Arrival arrival);

    //! Sheds requests that have waited too long. Must be called about every 50 ms.
    void tick();

    struct Load {
        int running = 0;
        std::array<int, admission::classCount> waiting {};
    };
    Load load() const;

private:
    struct Waiter {
        std::condition_variable decided;
        std::optional<admission::Action> decision;
    };

    void releaseSlot(admission::RequestId requestId);
    void applyActions(const admission::Actions& actions);

    mutable std::mutex mutex_;
    admission::State state_;
    Random random_;
    admission::RequestId lastRequestId_ = 0;
    std::unordered_map<admission::RequestId, Waiter*> waiters_;
};

} // namespace agatevane::entry
