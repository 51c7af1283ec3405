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
    KeysChanged, //!< a new desired state
    PeerLinkCut, //!< to one node: refused
    PeerLinkSilent, //!< to one node: connections stay and nothing passes
    PeerLinkOneWay, //!< to one node: requests arrive, replies don't
    PeerLinkDelayed,
    PeerLinkReset,
    CallerLinkSilent,
    CallerLinkDelayed,
    CallerLinkReset,
    StoreForgetsHistory,
    StoreWritesLate, //!< carries writes out seconds later and answers nothing
    WorkerOrdersLate, //!< carries orders out seconds later and answers nothing
    WorkerDraining
};

//! Plans of the seeds that were recorded before the kinds from PeerLinkCut on were added draw from those before it.
constexpr std::size_t firstFaultKinds = 18;

struct Fault {
    std::int64_t atMs = 0;
    std::int64_t forMs = 0; //!< ignored by faults of one moment
    FaultKind kind = FaultKind::NodeKilled;
    std::uint64_t target = 0; //!< which node or worker, modulo their number
};

} // namespace agatevane::soak

template <> struct agatevane::EnumNames<agatevane::soak::FaultKind> {
    using Kind = agatevane::soak::FaultKind;
    static constexpr std::array<std::pair<Kind, std::string_view>, 30> table { {
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
        { Kind::PeerLinkCut, "peer_link_cut" },
        { Kind::PeerLinkSilent, "peer_link_silent" },
        { Kind::PeerLinkOneWay, "peer_link_one_way" },
        { Kind::PeerLinkDelayed, "peer_link_delayed" },
        { Kind::PeerLinkReset, "peer_link_reset" },
        { Kind::CallerLinkSilent, "caller_link_silent" },
        { Kind::CallerLinkDelayed, "caller_link_delayed" },
        { Kind::CallerLinkReset, "caller_link_reset" },
        { Kind::StoreForgetsHistory, "store_forgets_history" },
        { Kind::StoreWritesLate, "store_writes_late" },
        { Kind::WorkerOrdersLate, "worker_orders_late" },
        { Kind::WorkerDraining, "worker_draining" },
    } };
};

namespace agatevane::soak {

struct PlanOptions {
    std::uint64_t seed = 1;
    std::int64_t lengthMs = 20000; //!< of the time in which faults begin
    std::int64_t longestPauseMs = 1600; //!< between two faults; shorter ones overlap more
    std::size_t kinds = EnumNames<FaultKind>::table.size(); //!< draws from the first so many of the table
};

//! Faults in order of their begin. They come in series and overlap.
std::vector<Fault> makePlan(const PlanOptions& options);

} // namespace agatevane::soak
