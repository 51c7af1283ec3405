#include "agatevane/fleet/placement.h"

#include "agatevane/fleet/runs.h"
#include <algorithm>
#include <limits>

namespace agatevane::fleet {

namespace {

    struct Candidate {
        std::size_t room = 0;
        std::size_t fits = 0;
        Capacity left;
        std::int64_t disturbance = 0; //!< between a task that fills or serves and the ones there
    };

    std::size_t fitCount(const Capacity& room, const Capacity& need, std::size_t most)
    {
        auto fits = static_cast<std::int64_t>(most);
        auto bound = [&fits](std::int64_t have, std::int64_t each) {
            if (each > 0)
                fits = std::min(fits, have < 0 ? 0 : have / each);
            else if (have < 0 && each < 0)
                fits = 0;
        };
        bound(room.milliCores, need.milliCores);
        bound(room.memoryMiB, need.memoryMiB);
        bound(room.accelerators, need.accelerators);
        return static_cast<std::size_t>(fits);
    }

    //! Tasks that fill or serve go where they disturb each other least; other tasks don't take part in it.
    std::int64_t disturbanceOf(const StepSpec& step, const Room& room)
    {
        if (step.isFiller)
            return room.serving * room.worker->capacity.milliCores + room.fillerMilliCores - room.free.milliCores;
        return isServing(step) ? room.serving + (room.fillerMilliCores > 0 ? 1 : 0) : 0;
    }

    //! Fullest workers first, so that whole workers stay free for wide tasks.
    bool isTighter(const Candidate& a, const Candidate& b)
    {
        if (a.disturbance != b.disturbance)
            return a.disturbance < b.disturbance;
        if (a.left.accelerators != b.left.accelerators)
            return a.left.accelerators < b.left.accelerators;
        if (a.left.milliCores != b.left.milliCores)
            return a.left.milliCores < b.left.milliCores;
        return a.room < b.room;
    }

    std::vector<Candidate> candidatesOf(
        const Unit& unit, const std::vector<Room>& rooms, std::size_t count, RoomKind kind, const std::string& rack)
    {
        auto need = roomOf(unit.spec());
        std::vector<Candidate> candidates;
        for (std::size_t index = 0; index < rooms.size(); ++index) {
            const auto& room = rooms[index];
            if ((!rack.empty() && room.worker->rack != rack) || !isAllowed(unit, *room.worker))
                continue;
            const auto& left = kind == RoomKind::Free ? room.free : room.soon;
            auto fits = fitCount(left, need, std::min(count, spreadLeft(unit, *room.worker)));
            if (fits > 0)
                candidates.push_back({ index, fits, left, disturbanceOf(unit.spec(), room) });
        }
        std::sort(candidates.begin(), candidates.end(), isTighter);
        return candidates;
    }

    std::optional<Places> fill(const std::vector<Candidate>& candidates, std::size_t count)
    {
        Places places;
        for (const auto& candidate : candidates) {
            for (std::size_t n = 0; n < candidate.fits && places.size() < count; ++n)
                places.push_back(candidate.room);
        }
        if (places.size() < count)
            return std::nullopt;
        return places;
    }

    //! The rack whose room is used up most by the unit.
    std::optional<Places> fillOneRack(
        const std::vector<Candidate>& candidates, const std::vector<Room>& rooms, std::size_t count)
    {
        std::map<std::string, std::vector<Candidate>> racks;
        for (const auto& candidate : candidates)
            racks[rooms[candidate.room].worker->rack].push_back(candidate);
        std::optional<Places> best;
        auto bestTotal = std::numeric_limits<std::size_t>::max();
        for (const auto& [rack, members] : racks) {
            std::size_t total = 0;
            for (const auto& member : members)
                total += static_cast<std::size_t>(std::max<std::int64_t>(0, member.left.accelerators)) + member.fits;
            auto places = fill(members, count);
            if (places && total < bestTotal) {
                bestTotal = total;
                best = std::move(places);
            }
        }
        return best;
    }

} // namespace

double coresOf(const Capacity& capacity)
{
    constexpr double milliPerCore = 1000;
    return static_cast<double>(capacity.milliCores) / milliPerCore
        + coresPerAccelerator * static_cast<double>(capacity.accelerators);
}

void addNeighbour(Room& room, const StepSpec& step)
{
    room.serving += isServing(step) ? 1 : 0;
    room.fillerMilliCores += step.isFiller ? step.need.milliCores : 0;
}

bool arePredecessorsDone(const Occurrence& occurrence, const StepSpec& step)
{
    return std::all_of(step.after.begin(), step.after.end(), [&occurrence](std::uint32_t earlier) {
        return occurrence.steps[earlier].done == occurrence.steps[earlier].tasks.size();
    });
}

bool isAllowed(const Unit& unit, const Worker& worker)
{
    const auto& spec = unit.spec();
    if (worker.service != unit.job->policy.service || (unit.ticketed && !unit.ticketed->contains(worker.id)))
        return false;
    if (spec.requiredLabel.empty())
        return true;
    return std::find(worker.labels.begin(), worker.labels.end(), spec.requiredLabel) != worker.labels.end();
}

std::size_t spreadLeft(const Unit& unit, const Worker& worker)
{
    auto most = unit.spec().maxPerWorker;
    if (most == 0)
        return std::numeric_limits<std::uint32_t>::max();
    auto begin = worker.runs.lower_bound({ unit.task(0), 0 });
    std::size_t there = 0;
    for (auto run = begin; run != worker.runs.end(); ++run) {
        const auto& id = run->first.first;
        if (id.job != unit.job->spec.id || id.occurrence != unit.occurrence || id.step != unit.step)
            break;
        ++there;
    }
    return there >= most ? 0 : most - there;
}

std::optional<Places> findPlaces(const Unit& unit, const std::vector<Room>& rooms, std::size_t count, RoomKind kind,
    bool oneRack, const std::string& rack)
{
    auto candidates = candidatesOf(unit, rooms, count, kind, rack);
    if (oneRack && rack.empty())
        return fillOneRack(candidates, rooms, count);
    return fill(candidates, count);
}

} // namespace agatevane::fleet
