#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/instant.h"
#include "agatevane/run_times/histogram.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace agatevane::run_times {

//! What is known of a run before its start.
struct Kind {
    std::string_view queue;
    std::string_view workspace;
    std::int64_t declaredMs = 0; //!< 0: none
};

using RatioHistogram = Histogram<-10, 10>; //!< of actual to declared run time
using DurationHistogram = Histogram<0, 31>; //!< in milliseconds, up to 24 days

//! Samples of the runs of one queue, or of one workspace in it.
struct Group {
    std::uint64_t id = 0; //!< unique within the model; a group that replaces another has another id
    RatioHistogram ratios; //!< of runs with a declared time
    DurationHistogram durations;
    //! Sum of the logarithms of all decays, by which the present weight of an earlier sample is known.
    double logDecay = 0;
    Instant lastAt; //!< time of the newest sample
    bool areDurationsUsable = false; //!< there are enough, and their range holds most of them
    bool areRatiosPreferred = false; //!< as above for the ratios, and they are spread no more than the durations
};

struct QueueGroups {
    Group whole;
    std::map<std::uint64_t, Group> workspaces; //!< by hash of the name
};

//! Run times of finished runs. Its size is bounded, whatever names and durations occur.
struct Model {
    std::map<std::uint64_t, QueueGroups> queues; //!< by hash of the name
    std::uint64_t lastGroupId = 0;
    std::uint64_t changes = 0; //!< samples added or raised
};

constexpr std::size_t maxQueues = 64;
constexpr std::size_t maxWorkspacesPerQueue = 64;
//! With fewer samples, a group has no estimate of its own: the 10 % and the 90 % quantile are to rest on a sample each.
constexpr double minSamples = 10;

//! What an estimate rests on.
enum class Source {
    Declared,
    Queue,
    Workspace //!< runs of the workspace in this queue
};

//! Distribution of the run time of one kind. Valid until the model changes.
struct Estimate {
    Source source = Source::Declared;
    double samples = 0; //!< weight of the samples; 0: the declared time is used
    std::int64_t declaredMs = 0;
    const Group* group = nullptr; //!< null: the declared time is used
    bool isByRatio = false; //!< the group's ratios are used, else its durations
};

Estimate estimate(const Model& model, const Kind& kind);

//! The time that this fraction of the runs does not exceed; the declared time if there is no other, 0 if there is none.
std::int64_t quantileMs(const Estimate& estimate, double fraction);
//! The time after `elapsedMs` that this fraction of the runs that last so long does not exceed. A run that has lasted
//! longer than all samples is expected to last as long again. Nothing if only the declared time is known.
std::optional<std::int64_t> remainingMs(const Estimate& estimate, std::int64_t elapsedMs, double fraction);

//! The sample of one run, which is raised while the run goes on.
struct Sample {
    struct Place {
        std::uint64_t group = 0; //!< id of the group; 0: none
        double logDecay = 0; //!< the group's, when the sample was added
    };

    std::int64_t durationMs = 0; //!< 0: not added yet
    Place queue;
    Place workspace;
};

//! Adds a run of this duration, or sets its sample to this duration. A run has one sample of the weight that it got
//! when it was added: so a run that goes on, whose duration so far is a lower bound, counts as much as one that has
//! ended.
void setDuration(Model& model, const Kind& kind, Sample& sample, std::int64_t durationMs, Instant at);

//! Computes what the group derives from its samples, after they were changed.
void updateUse(Group& group);

} // namespace agatevane::run_times

template <> struct agatevane::EnumNames<agatevane::run_times::Source> {
    static constexpr std::array<std::pair<agatevane::run_times::Source, std::string_view>, 3> table { {
        { agatevane::run_times::Source::Declared, "declared" },
        { agatevane::run_times::Source::Queue, "queue" },
        { agatevane::run_times::Source::Workspace, "workspace" },
    } };
};
