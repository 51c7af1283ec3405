#pragma once

#include "agatevane/fleet/state.h"
#include <map>
#include <set>
#include <string>
#include <vector>

//! Waves of upkeep: operators request that each of a set of machines goes down for maintenance within a time limit,
//! with a bound on how many are down at once. A machine is evacuated before it goes down. Decisions are free functions
//! over State; no I/O.
namespace agatevane::upkeep {

using MachineId = std::string;
using WaveNumber = std::int64_t;

enum class MachineState { Up, Moving, Upkeep, Down };

//! A machine as the platform lists it. It keeps its id while one worker after another runs on it.
struct Machine {
    MachineId id;
    MachineState state = MachineState::Up;
    fleet::WorkerId worker; //!< the worker that runs on it now; empty: none
};

//! The operators' request for one wave.
struct WaveRequest {
    WaveNumber number = 0;
    std::vector<MachineId> machines;
    Millis timeLimit { 0 }; //!< from the request until every machine has begun its upkeep
    std::uint32_t mostAtOnce = 1;

    bool operator==(const WaveRequest&) const = default;
};

enum class Stage {
    Waiting,
    Evacuating, //!< the machine gets no new runs; its present runs end or are stopped
    Ordered, //!< no runs are left; an order to go down is due or sent, and may have been carried out
    InUpkeep, //!< the platform has confirmed the order; the machine's new worker has not joined yet
    Done
};

//! How far one machine of a wave is.
struct MachineProgress {
    Stage stage = Stage::Waiting;
    fleet::WorkerId workerBefore; //!< the worker on the machine when its evacuation began; empty: none
    bool isOrderInFlight = false;
    Instant nextOrderAt; //!< earliest time of the next order
    Instant confirmedAt; //!< when the platform's confirmation of the order arrived
};

struct Wave {
    WaveRequest request;
    std::int64_t deadlineUnixMs = 0; //!< 0: not known yet
    Instant deadline; //!< `deadlineUnixMs` on the monotonic clock of this process
    std::map<MachineId, MachineProgress> progress;
    bool isCompleted = false;
};

struct State {
    //! Start of this owner's tenure. The list of machines shows the orders of an earlier owner soon afterwards.
    Instant tenureStartedAt;
    std::map<WaveNumber, Wave> waves;
    std::map<MachineId, Machine> machines;
    Instant machinesRequestedAt; //!< when the newest list of machines was requested
    bool isMachineListKnown = false;
    std::uint64_t recordChanges = 0; //!< number of changes to the content of the stored record
};

//! Orders one machine to go down for its upkeep.
struct UpkeepOrder {
    WaveNumber wave = 0;
    MachineId machine;
    std::uint64_t fencingToken = 0;
};

enum class UpkeepOutcome {
    Done, //!< the machine goes down now, or has already been down for this wave
    Busy, //!< the machine is not up, or is about to leave
    NotInWave,
    NoSuchMachine,
    Refused, //!< too many calls, or the platform is unavailable: the order was not carried out
    Unknown //!< no usable answer: the order may have been carried out
};

} // namespace agatevane::upkeep

template <> struct agatevane::EnumNames<agatevane::upkeep::UpkeepOutcome> {
    using Outcome = agatevane::upkeep::UpkeepOutcome;
    static constexpr std::array<std::pair<Outcome, std::string_view>, 6> table { {
        { Outcome::Done, "done" },
        { Outcome::Busy, "busy" },
        { Outcome::NotInWave, "not_in_wave" },
        { Outcome::NoSuchMachine, "no_such_machine" },
        { Outcome::Refused, "refused" },
        { Outcome::Unknown, "unknown" },
    } };
};

namespace agatevane::upkeep {

//! Adds a wave or replaces its request; machines that have had their upkeep stay done. The time limit counts from when
//! the first owner received the request, and starts again when an owner receives a changed one.
void applyRequest(State& state, const WaveRequest& request, std::int64_t unixMs, Instant at);

//! Replaces the known machines by a complete list that was requested at `requestedAt`.
void applyMachineList(State& state, const std::vector<Machine>& machines, Instant requestedAt);

//! True while a wave is not completed and so needs up-to-date lists of machines.
bool needsMachineList(const State& state);

//! Evacuates machines and returns the orders that are due for those without runs. Marks the workers of machines that go
//! down in `fleet`, so that they get no new runs.
std::vector<UpkeepOrder> advance(State& state, fleet::Fleet& fleet, Instant at);

void applyOutcome(State& state, WaveNumber wave, const MachineId& machine, UpkeepOutcome outcome, Instant at);

//! The part of the state that is stored for later owners: the waves' deadlines, which waves are completed and which
//! machines have had their upkeep.
std::string encodeRecord(const State& state);
//! Adds what an earlier owner stored; false, and without effect, if the bytes can't be decoded.
bool decodeRecord(State& state, const std::string& bytes);

} // namespace agatevane::upkeep
