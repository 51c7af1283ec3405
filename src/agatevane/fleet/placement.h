#pragma once

#include "agatevane/fleet/state.h"
#include <optional>
#include <vector>

//! Which workers have room for the tasks of a step. No state is changed.
namespace agatevane::fleet {

//! The room of one usable worker while a round of placement goes on.
struct Room {
    Worker* worker = nullptr;
    Capacity free; //!< now
    Capacity soon; //!< with what is being stopped there
    int serving = 0; //!< tasks there that serve users
    std::int64_t fillerMilliCores = 0; //!< that the fillers there could use
};

//! Tasks of one step of one occurrence that wait for a place.
struct Unit {
    Job* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::uint32_t> indexes; //!< of a gang: all its tasks
    bool isGang = false;
    int tier = 0; //!< lower goes first
    bool isWithinGuarantee = false; //!< its tenant's urgent jobs need no more than is guaranteed
    const std::set<WorkerId>* ticketed = nullptr; //!< workers with a valid ticket; null: no ticket is needed
    std::int64_t slackMs = 0; //!< until it must start to meet its objective

    const StepSpec& spec() const { return job->spec.steps[step]; }
    Step& state() const { return job->occurrences[occurrence].steps[step]; }
    StepId id() const { return { job->spec.id, occurrence, step }; }
    TaskId task(std::uint32_t index) const { return { job->spec.id, occurrence, step, index }; }
};

enum class RoomKind { Free, Soon };

//! Index into the rooms for each task of a unit.
using Places = std::vector<std::size_t>;

//! An accelerator weighs as much as this many cores when amounts of work are compared.
constexpr double coresPerAccelerator = 8;
double coresOf(const Capacity& capacity);

//! Counts a task of `step` among those that disturb each other in the room.
void addNeighbour(Room& room, const StepSpec& step);

//! True if all tasks of the steps that `step` waits for are done.
bool arePredecessorsDone(const Occurrence& occurrence, const StepSpec& step);
//! True if the step's demands on the kind of worker and on other tasks of the step allow one more task there.
bool isAllowed(const Unit& unit, const Worker& worker);
//! How many more tasks of the step may run there besides `placed` ones of this round; bounded by its spread.
std::size_t spreadLeft(const Unit& unit, const Worker& worker);

//! A place for each task of `count` tasks of the unit, or nothing. With `oneRack` all on one rack, on `rack` if that is
//! not empty.
std::optional<Places> findPlaces(const Unit& unit, const std::vector<Room>& rooms, std::size_t count, RoomKind kind,
    bool oneRack, const std::string& rack);

} // namespace agatevane::fleet
