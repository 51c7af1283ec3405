#include "agatevane/fleet/worker_parts.h"

#include "agatevane/base/hash.h"
#include "agatevane/fleet/worker_record.h"
#include "agatevane/net/archive.h"
#include <charconv>

namespace agatevane::fleet {

namespace {

    //! Stands at `knownWorkersKey` once there are parts. No undivided record is as short.
    constexpr std::string_view splitMark = "\x02split";
    //! Part of the format: 19,000 workers have parts of some 60 KB.
    constexpr WorkerPart partCount = 64;

    WorkerPart partOf(const WorkerId& id)
    {
        return static_cast<WorkerPart>(hash64(id) % partCount);
    }

    std::map<WorkerPart, std::vector<WorkerListing>> groupByPart(const std::vector<WorkerListing>& listings)
    {
        std::map<WorkerPart, std::vector<WorkerListing>> groups;
        for (const auto& listing : listings)
            groups[partOf(listing.id)].push_back(listing);
        return groups;
    }

    void addNames(std::set<WorkerId>& names, const std::vector<WorkerListing>& listings)
    {
        for (const auto& listing : listings)
            names.insert(listing.id);
    }

    std::optional<WorkersWrite> writeWhole(
        const StoredWorkers& stored, const std::vector<WorkerListing>& listings, std::string record)
    {
        if (record == stored.whole)
            return std::nullopt;
        WorkersWrite write;
        write.whole = std::move(record);
        write.namesAll = true;
        addNames(write.names, listings);
        return write;
    }

    //! False if there is no room for the part, and others are in the write.
    bool addPart(WorkersWrite& write, WorkerPart part, std::string record, BatchLimits& room)
    {
        bool fits = room.entries > 0 && record.size() <= room.bytes;
        if (!fits && !write.parts.empty())
            return false;
        room.entries -= room.entries > 0 ? 1 : 0;
        room.bytes -= std::min(room.bytes, record.size());
        write.parts.emplace(part, std::move(record));
        return true;
    }

    bool addListings(const std::string& record, std::vector<WorkerListing>& listings)
    {
        std::vector<WorkerListing> read;
        if (!net::decode(record, read))
            return false;
        listings.insert(listings.end(), read.begin(), read.end());
        return true;
    }

    //! True if the part has to be written: it has changed, or, before parts are in force, it is missing.
    bool isPartDue(const StoredWorkers& stored, WorkerPart part, const std::vector<WorkerListing>& group)
    {
        auto known = stored.parts.find(part);
        if (known == stored.parts.end())
            return !group.empty();
        return stored.isSplit && known->second != net::encode(group);
    }

    //! Adds the mark from which on the parts are in force. They name the workers that they name at that time.
    void addMark(WorkersWrite& write, const StoredWorkers& stored)
    {
        write.marksSplit = write.namesAll = true;
        auto parts = write.parts;
        parts.insert(stored.parts.begin(), stored.parts.end());
        std::vector<WorkerListing> listings;
        for (const auto& [part, record] : parts)
            addListings(record, listings);
        addNames(write.names, listings);
    }

    std::optional<WorkersWrite> writeParts(
        const StoredWorkers& stored, const std::vector<WorkerListing>& listings, BatchLimits room)
    {
        WorkersWrite write;
        write.arePartsInForce = stored.isSplit;
        auto groups = groupByPart(listings);
        for (WorkerPart step = 0; step < partCount && write.isLast; ++step) {
            auto part = (stored.nextPart + step) % partCount;
            const auto& group = groups[part];
            if (!isPartDue(stored, part, group))
                continue;
            write.isLast = addPart(write, part, net::encode(group), room);
            if (write.isLast && stored.isSplit)
                addNames(write.names, group);
        }
        bool isComplete = write.isLast;
        // Parts that were written some time ago may be out of date, and are the next to be written.
        write.isLast = isComplete && stored.isSplit;
        if (isComplete && !stored.isSplit && (room.entries > 0 || write.parts.empty()))
            addMark(write, stored);
        return write.parts.empty() && !write.marksSplit ? std::nullopt : std::optional(std::move(write));
    }

    std::optional<WorkerPart> readPartNumber(std::string_view key)
    {
        std::string_view prefix = workerPartPrefix;
        if (!key.starts_with(prefix))
            return std::nullopt;
        auto digits = key.substr(prefix.size());
        WorkerPart part = 0;
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), part);
        bool isNumber = error == std::errc() && end == digits.data() + digits.size();
        return isNumber && part < partCount ? std::optional(part) : std::nullopt;
    }

} // namespace

std::optional<WorkersWrite> nextWorkersWrite(
    const StoredWorkers& stored, const std::vector<WorkerListing>& listings, const BatchLimits& limits)
{
    if (stored.isSplit)
        return writeParts(stored, listings, limits);
    auto record = net::encode(listings);
    if (record.size() <= maxWholeWorkerBytes)
        return writeWhole(stored, listings, std::move(record));
    return writeParts(stored, listings, limits);
}

std::vector<kv::Put> putsOf(const WorkersWrite& write)
{
    std::vector<kv::Put> puts;
    for (const auto& [part, record] : write.parts)
        puts.push_back({ workerPartPrefix + std::to_string(part), record });
    if (write.whole)
        puts.push_back({ knownWorkersKey, *write.whole });
    if (write.marksSplit)
        puts.push_back({ knownWorkersKey, std::string(splitMark) });
    return puts;
}

void beginNaming(Fleet& fleet, const WorkersWrite& write)
{
    if (write.namesAll)
        return beginNaming(fleet, write.names);
    if (!write.arePartsInForce)
        return;
    for (auto& [id, worker] : fleet.workers) {
        if (write.parts.contains(partOf(id)))
            worker.awaitsNaming = worker.awaitsNaming || !write.names.contains(id);
    }
}

void completeNaming(Fleet& fleet, StoredWorkers& stored, const WorkersWrite& write)
{
    if (write.whole)
        stored.whole = *write.whole;
    for (const auto& [part, record] : write.parts) {
        stored.parts[part] = record;
        stored.nextPart = (part + 1) % partCount;
    }
    if (write.marksSplit) {
        stored.isSplit = true;
        stored.whole.clear();
    }
    completeNaming(fleet, write.names);
}

ReadWorkers readWorkers(const std::vector<kv::Item>& items)
{
    ReadWorkers read;
    auto& stored = read.stored;
    for (const auto& item : items) {
        auto part = readPartNumber(item.key);
        bool isWhole = item.key == knownWorkersKey;
        if (!isWhole && !part)
            continue;
        if (isWhole) {
            read.isMissing = false;
            stored.isSplit = item.value == splitMark;
        }
        bool isMark = isWhole && stored.isSplit;
        bool isReadable = isMark || addListings(item.value, read.listings);
        if (!isReadable)
            read.unreadable = &item;
        if (part)
            stored.parts[*part] = item.value;
        else if (isReadable && !isMark)
            stored.whole = item.value;
    }
    return read;
}

} // namespace agatevane::fleet
