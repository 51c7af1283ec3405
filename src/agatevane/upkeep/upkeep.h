#pragma once

#include "agatevane/fleet/state.h"
#include <map>
#include <set>
#include <string>
#include <vector>

//! Waves of upkeep: operators ask that each of some machines goes down for its upkeep in time, with a bound on how many
//! are down at once. A machine is emptied before it goes down. Decisions are free functions over State; no I/O.
namespace agatevane::upkeep {

using MachineId = std::string;
using WaveNumber = std::int64_t;

enum class MachineState { Up, Moving, Upkeep, Down };

//! A machine as the platform lists it. It outlives the workers that run on it.
struct Machine {
    MachineId id;
    MachineState state = MachineState::Up;
    fleet::WorkerId worker; //!< its present one; empty: none
};

//! What operators ask for.
struct WaveRequest {
    WaveNumber number = 0;
    std::vector<MachineId> machines;
    Millis timeLimit { 0 }; //!< from the request until all machines have begun their upkeep
    std::uint32_t mostAtOnce = 1;

    bool operator==(const WaveRequest&) const = default;
};

enum class Stage {
    Waiting,
    Evacuating, //!< gets no new work; what runs there ends or is stopped
    Ordered, //!< empty; the order may have been carried out
    InUpkeep, //!< the order is confirmed; its new worker has not joined yet
    Done
};

struct MachineProgress {
    Stage stage = Stage::Waiting;
    fleet::WorkerId workerBefore; //!< that ran there when the machine was emptied
    bool isOrderInFlight = false;
    Instant nextOrderAt;
    Instant confirmedAt;
};

struct Wave {
    WaveRequest request;
    std::int64_t deadlineUnixMs = 0; //!< 0: not known yet
    Instant deadline; //!< the same on this process's clock
    std::map<MachineId, MachineProgress> progress;
    bool isCompleted = false;
};

struct State {
    Instant tenureStartedAt; //!< of this owner; orders of an earlier one show in the list of machines soon after
    std::map<WaveNumber, Wave> waves;
    std::map<MachineId, Machine> machines;
    Instant machinesReadAt; //!< when the newest list was asked for
    bool isListKnown = false;
    std::uint64_t recordChanges = 0; //!< counts changes of what the record holds
};

//! Tells one machine to go down.
struct UpkeepOrder {
    WaveNumber wave = 0;
    MachineId machine;
    std::uint64_t fencingToken = 0;
};

enum class UpkeepOutcome {
    Done, //!< it goes down now, or has been down for this wave
    Busy, //!< not up, or about to leave
    NotInWave,
    NoSuchMachine,
    Refused, //!< too many calls or no platform: nothing was done
    Unknown //!< no answer: it may have been carried out
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

//! Enters a wave, or its new form; machines that had their upkeep keep it. Its time counts from the first owner that
//! has seen it.
void applyRequest(State& state, const WaveRequest& request, std::int64_t unixMs, Instant at);

//! Takes over the whole list of machines, which was asked for at `askedAt`.
void applyMachineList(State& state, const std::vector<Machine>& machines, Instant askedAt);

//! True while a wave needs the list of machines.
bool needsMachineList(const State& state);

//! Empties machines and emits orders for those that are empty. Marks the workers concerned in `fleet`.
std::vector<UpkeepOrder> advance(State& state, fleet::Fleet& fleet, Instant at);

void applyOutcome(State& state, WaveNumber wave, const MachineId& machine, UpkeepOutcome outcome, Instant at);

//! The durable part: which waves are completed and which machines have had their upkeep.
std::string encodeRecord(const State& state);
//! Enters what an earlier owner has recorded; false if the bytes can't be read.
bool decodeRecord(State& state, const std::string& bytes);

} // namespace agatevane::upkeep
