#pragma once

#include "agatevane/base/enum_names.h"
#include <cstdint>
#include <string>
#include <vector>

//! Which faults a run of the soak injects, and when. The plan depends only on its options, so a seed can be replayed.
namespace agatevane::soak {

enum class FaultKind {
    NodeKilled, //!< SIGKILL; the node is restarted at the end
    NodeStopped, //!< SIGTERM; the node is restarted after its exit
    NodePaused, //!< SIGSTOP; SIGCONT at the end
    AllNodesKilled,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers, //!< the store executes writes and sends no answers
    StoreLinkCut, //!< connections of one node to the store are refused
    StoreLinkSilent, //!< connections of one node to the store stay open and carry no data
    StoreLinkOneWay, //!< calls of one node reach the store, answers don't arrive
    StoreLinkReset,
    WorkerLinkSilent,
    WorkerLinkOneWay,
    WorkerLinkDelayed,
    WorkerLinkReset,
    WorkerRestarted, //!< a new incarnation with the same id
    WorkerFailing, //!< the worker fails every run that it starts
    KeysChanged, //!< a new desired state changes the API keys
    PeerLinkCut, //!< connections to one node are refused
    PeerLinkSilent, //!< connections to one node stay open and carry no data
    PeerLinkOneWay, //!< requests reach one node, its replies don't arrive
    PeerLinkDelayed,
    PeerLinkReset,
    CallerLinkSilent,
    CallerLinkDelayed,
    CallerLinkReset,
    StoreForgetsHistory,
    StoreWritesLate, //!< the store executes writes seconds later and sends no answers
    WorkerOrdersLate, //!< the worker executes orders seconds later and sends no answers
    WorkerDraining,
    WorkerCutFromNode, //!< connections of one node to one worker are refused
    WorkerCutFromOwner, //!< as WorkerCutFromNode, for the present owner
    WorkerOneWayFromOwner, //!< calls of the present owner reach the worker, answers don't arrive
    WorkerUnlisted, //!< the store has no entry of the worker, which works on and can be reached
    WorkerUnlistedAndCut, //!< as WorkerUnlisted, and some nodes can't reach the worker
    WorkerRestartedBehindCut, //!< as WorkerUnlistedAndCut, and the worker restarts meanwhile
    OwnerStoreLinkCut,
    OwnerStoreLinkSilent,
    OwnerStoreLinkOneWay,
    OwnerRefusedByStore, //!< the store answers 503 to the present owner alone
    OwnerPaused,
    WorkerOrdersVeryLate, //!< as WorkerOrdersLate, up to 12 s late
    WorkerRestartedBeforeLateOrders, //!< as WorkerOrdersVeryLate, and the worker's next incarnation executes them
    DesiredStateGrown //!< as KeysChanged, and the desired state grows, up to the largest value of the store
};

//! Number of fault kinds before PeerLinkCut. Seeds recorded before PeerLinkCut and the later kinds were added draw from
//! these only, so that their plans stay the same.
constexpr std::size_t originalFaultKindCount = 18;
//! Number of fault kinds before WorkerCutFromNode.
constexpr std::size_t faultKindCountBeforePartialCuts = 30;
//! Number of fault kinds before DesiredStateGrown.
constexpr std::size_t faultKindCountBeforeGrowth = 43;

struct Fault {
    std::int64_t atMs = 0;
    std::int64_t durationMs = 0; //!< ignored by faults without a duration, such as a reset
    FaultKind kind = FaultKind::NodeKilled;
    std::uint64_t target = 0; //!< node or worker; the index is this modulo their number
};

} // namespace agatevane::soak

template <> struct agatevane::EnumNames<agatevane::soak::FaultKind> {
    using Kind = agatevane::soak::FaultKind;
    static constexpr std::array<std::pair<Kind, std::string_view>, 44> table { {
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
        { Kind::WorkerCutFromNode, "worker_cut_from_node" },
        { Kind::WorkerCutFromOwner, "worker_cut_from_owner" },
        { Kind::WorkerOneWayFromOwner, "worker_one_way_from_owner" },
        { Kind::WorkerUnlisted, "worker_unlisted" },
        { Kind::WorkerUnlistedAndCut, "worker_unlisted_and_cut" },
        { Kind::WorkerRestartedBehindCut, "worker_restarted_behind_cut" },
        { Kind::OwnerStoreLinkCut, "owner_store_link_cut" },
        { Kind::OwnerStoreLinkSilent, "owner_store_link_silent" },
        { Kind::OwnerStoreLinkOneWay, "owner_store_link_one_way" },
        { Kind::OwnerRefusedByStore, "owner_refused_by_store" },
        { Kind::OwnerPaused, "owner_paused" },
        { Kind::WorkerOrdersVeryLate, "worker_orders_very_late" },
        { Kind::WorkerRestartedBeforeLateOrders, "worker_restarted_before_late_orders" },
        { Kind::DesiredStateGrown, "desired_state_grown" },
    } };
};

namespace agatevane::soak {

struct PlanOptions {
    std::uint64_t seed = 1;
    std::int64_t lengthMs = 20000; //!< length of the time in which faults begin
    std::int64_t longestPauseMs
        = 1600; //!< longest time between the begins of two faults; a shorter one gives more overlap
    //! Number of fault kinds, from the start of the table, that the plan draws from.
    std::size_t kinds = EnumNames<FaultKind>::table.size();
    std::size_t firstKind = 0; //!< index of the first kind that the plan draws from
};

//! Returns faults ordered by their begin. Some come in series on the same target, and faults may overlap.
std::vector<Fault> makePlan(const PlanOptions& options);

} // namespace agatevane::soak
