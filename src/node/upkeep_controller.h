#pragma once

#include "node/committer.h"
#include "node/ports.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <functional>

namespace agatevane::node {

//! Key of the record of waves that the present owner keeps for the next one.
constexpr const char* upkeepKey = "agatevane/upkeep";

//! Carries out the operators' waves of upkeep while this node owns the fleet.
class UpkeepDuty {
public:
    struct Environment {
        asio::io_context& context;
        kv::Store& store;
        MachinePort& machines;
        const Translation& translation;
        fleet::Fleet& fleet;
        Committer& committer;
        //! True while the store has confirmed the ownership lately: no other node gives orders for machines then.
        std::function<bool()> holdsLease;
    };

    explicit UpkeepDuty(const Environment& environment);

    void start();
    void stop() { isStopped_ = true; }
    //! Decides what is due; called with each round of the owner.
    void advance();
    const upkeep::State& state() const { return state_; }

private:
    void readRecord();
    void listWaves();
    void watchWaves();
    void takeWave(const kv::Item& item);
    void readMachines();
    void store();

    Environment environment_;
    upkeep::State state_;
    kv::Revision wavesAsOf_ = 0;
    bool isLoaded_ = false;
    bool isStopped_ = false;
    bool isReading_ = false;
    Instant nextReadAt_;
    std::uint64_t storedChanges_ = 0;
    Timer watchTimer_;
    Liveness liveness_;
};

} // namespace agatevane::node
