#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/kv/kv.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace agatevane::node {

enum class TenureState {
    Current, //!< after the question was asked, no later owner had been elected
    Replaced, //!< a later owner has been elected
    Unknown //!< the store has not answered in time
};

//! Asks the store whether a tenure is still the last one. Each owner writes the commit key when it is elected, so a
//! read of that key proves it without relying on the duration of a lease. Questions that arrive during a read share the
//! next one.
class TenureCheck {
public:
    using Done = std::function<void(TenureState state)>;

    TenureCheck(asio::io_context& context, kv::Store& store, std::uint32_t tenure);

    //! `done` is called once, by `deadline` at the latest, and not from within this call.
    void ask(Instant deadline, Done done);
    //! Answers all open questions with `Unknown`.
    void stop();

private:
    struct Question {
        Done done; //!< empty once it was called
    };
    using Questions = std::vector<std::shared_ptr<Question>>;

    void readIfNeeded();
    TenureState stateFrom(const kv::ReadResult& result) const;
    static void answer(Question& question, TenureState state);

    asio::io_context& context_;
    kv::Store& store_;
    std::uint32_t tenure_;
    Questions waiting_; //!< asked after the read in flight was sent
    Questions asked_; //!< the read in flight answers them
    bool isReadInFlight_ = false;
    Liveness liveness_;
};

} // namespace agatevane::node
