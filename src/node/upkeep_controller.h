#pragma once

#include "node/committer.h"
#include "node/ports.h"
#include "node/prefix_follower.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <functional>

namespace agatevane::node {

//! Key under which the current owner stores the progress of waves for the next owner.
constexpr const char* upkeepKey = "agatevane/upkeep";

//! Carries out the waves of upkeep that operators have requested, while this node owns the fleet.
class UpkeepController {
public:
    struct Environment {
        asio::io_context& context;
        kv::Store& store;
        MachinePort& machines;
        const Translation& translation;
        fleet::Fleet& fleet;
        Committer& committer;
        //! True if the store has confirmed the ownership recently. Then no other node sends orders to machines.
        std::function<bool()> isOwnershipConfirmed;
    };

    explicit UpkeepController(const Environment& environment);

    void start();
    void stop();
    //! Sends the orders that are due and stores progress. The owner calls it in each round of decisions.
    void advance();
    const upkeep::State& state() const { return state_; }
    const PrefixFollower& wavesFollower() const { return wavesFollower_; }

private:
    void readRecord();
    void applyListedWaves(const kv::ReadResult& listed);
    void applyWaveChanges(const std::vector<kv::Change>& changes);
    void applyWave(const kv::Item& item);
    void readMachines();
    void saveState();

    Environment environment_;
    upkeep::State state_;
    bool isLoaded_ = false;
    bool isStopped_ = false;
    bool isReading_ = false;
    Instant nextReadAt_;
    std::uint64_t savedChanges_ = 0;
    Timer recordTimer_; //!< the pause before the record is read again
    PrefixFollower wavesFollower_;
    Liveness liveness_;
};

} // namespace agatevane::node
