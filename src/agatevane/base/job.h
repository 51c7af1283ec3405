#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/id.h"
#include "agatevane/base/instant.h"
#include "agatevane/base/resources.h"
#include "agatevane/base/work_class.h"
#include <cstdint>
#include <string>

namespace agatevane {

//! The widest block of adjacent workers over which a gang may be placed.
enum class Spread { Worker, Rack, DataCentre };

template <> struct EnumNames<Spread> {
    static constexpr std::array<std::pair<Spread, std::string_view>, 3> table { {
        { Spread::Worker, "worker" },
        { Spread::Rack, "rack" },
        { Spread::DataCentre, "data_centre" },
    } };
};

//! A job as requested by a caller. It never changes after acceptance.
struct JobSpec {
    JobId id;
    WorkspaceId workspace;
    CallerId caller;
    DataCentreId dataCentre; //!< its owner schedules the job; the entry VM chooses one if the caller names none
    std::string kind; //!< corrections of the expected run time are learned for each workspace and kind
    WorkClass workClass = WorkClass::Standard;
    int accelerators = 1; //!< number for the whole gang, 1 to 128
    int acceleratorsPerWorker = 0; //!< number that each used worker contributes; 0: any split
    Spread maxSpread = Spread::DataCentre;
    std::int64_t expectedMs = 0; //!< run time declared by the caller, often wrong by a factor of ten
    bool canCheckpoint = false;
    bool canStop = true; //!< may be stopped and run again from its last checkpoint or from its start
    std::string payload;
    std::string idempotencyKey;

    bool operator==(const JobSpec&) const = default;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(id, workspace, caller, dataCentre, kind, workClass, accelerators, acceleratorsPerWorker, maxSpread,
            expectedMs, canCheckpoint, canStop, payload, idempotencyKey);
    }
};

enum class JobState { Queued, Starting, Running, Stopping, Finished, Failed, Cancelled, Impossible };

template <> struct EnumNames<JobState> {
    static constexpr std::array<std::pair<JobState, std::string_view>, 8> table { {
        { JobState::Queued, "queued" },
        { JobState::Starting, "starting" },
        { JobState::Running, "running" },
        { JobState::Stopping, "stopping" },
        { JobState::Finished, "finished" },
        { JobState::Failed, "failed" },
        { JobState::Cancelled, "cancelled" },
        { JobState::Impossible, "impossible" },
    } };
};

//! Whether a job in this state will never run again.
inline bool isFinal(JobState state)
{
    return state == JobState::Finished || state == JobState::Failed || state == JobState::Cancelled
        || state == JobState::Impossible;
}

} // namespace agatevane
