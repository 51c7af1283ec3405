#pragma once

#include "agatevane/base/enum_names.h"
#include <cstdint>
#include <string>
#include <vector>

//! Which faults a run of the soak injects, and when: a function of the seed alone.
namespace agatevane::soak {

enum class FaultKind {
    NodeKilled, //!< SIGKILL, started again at the end
    NodeStopped, //!< SIGTERM, started again after its exit
    NodePaused, //!< SIGSTOP, SIGCONT at the end
    AllNodesKilled,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers, //!< carries writes out and answers nothing
    StoreLinkCut, //!< of one node: refused
    StoreLinkSilent, //!< of one node: connections stay and nothing passes
    StoreLinkOneWay, //!< of one node: calls arrive, answers don't
    StoreLinkReset,
    WorkerLinkSilent,
    WorkerLinkOneWay,
    WorkerLinkDelayed,
    WorkerLinkReset,
    WorkerRestarted, //!< a new life under the same id
    WorkerFailing, //!< fails all that it starts
    KeysChanged //!< a new desired state
};

struct Fault {
    std::int64_t atMs = 0;
    std::int64_t forMs = 0; //!< ignored by faults of one moment
    FaultKind kind = FaultKind::NodeKilled;
    std::uint64_t target = 0; //!< which node or worker, modulo their number
};

struct PlanOptions {
    std::uint64_t seed = 1;
    std::int64_t lengthMs = 20000; //!< of the time in which faults begin
    std::int64_t longestPauseMs = 1600; //!< between two faults; shorter ones overlap more
};

//! Faults in order of their begin. They come in series and overlap.
std::vector<Fault> makePlan(const PlanOptions& options);

} // namespace agatevane::soak

template <> struct agatevane::EnumNames<agatevane::soak::FaultKind> {
    using Kind = agatevane::soak::FaultKind;
    static constexpr std::array<std::pair<Kind, std::string_view>, 18> table { {
        { Kind::NodeKilled, "node_killed" },
        { Kind::NodeStopped, "node_stopped" },
        { Kind::NodePaused, "node_paused" },
        { Kind::AllNodesKilled, "all_nodes_killed" },
        { Kind::StoreDown, "store_down" },
        { Kind::StoreSlow, "store_slow" },
        { Kind::StoreLosesAnswers, "store_loses_answers" },
        { Kind::StoreLinkCut, "store_link_cut" },
        { Kind::StoreLinkSilent, "store_link_silent" },
        { Kind::StoreLinkOneWay, "store_link_one_way" },
        { Kind::StoreLinkReset, "store_link_reset" },
        { Kind::WorkerLinkSilent, "worker_link_silent" },
        { Kind::WorkerLinkOneWay, "worker_link_one_way" },
        { Kind::WorkerLinkDelayed, "worker_link_delayed" },
        { Kind::WorkerLinkReset, "worker_link_reset" },
        { Kind::WorkerRestarted, "worker_restarted" },
        { Kind::WorkerFailing, "worker_failing" },
        { Kind::KeysChanged, "keys_changed" },
    } };
};
