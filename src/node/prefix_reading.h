#pragma once

#include "agatevane/kv/kv.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <functional>
#include <string>

namespace agatevane::node {

//! Reads all keys with a prefix, again and again until the store has answered. There is one call under way, or one
//! pause, at a time, so that no answer can replace a later one.
class PrefixReading {
public:
    using Done = std::function<void(kv::ReadResult result)>;

    PrefixReading(asio::io_context& context, kv::Store& store, std::string prefix);

    //! `done` is called once, with a result without an error, and may start the next reading. Called while none is
    //! running.
    void start(Done done);
    void stop();

private:
    void send();
    void handleResult(kv::ReadResult result);

    kv::Store& store_;
    std::string prefix_;
    Done done_; //!< empty while no reading is running
    int timeouts_ = 0; //!< calls of this reading that ended without an answer
    Timer retryTimer_;
    Liveness liveness_;
};

} // namespace agatevane::node
