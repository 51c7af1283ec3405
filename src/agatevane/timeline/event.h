#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/id.h"
#include <atomic>
#include <cstdint>
#include <string>

//! Records of events in all processes, which can be merged in causal order.
namespace agatevane::timeline {

enum class EventType {
    JobAccepted,
    JobRefused,
    JobPrepared,
    JobStarted,
    JobPreempted,
    JobStopped,
    JobFinished,
    JobFailed,
    JobCancelled,
    JobImpossible,
    GuaranteeClaimed,
    GuaranteeReduced,
    OwnershipTaken,
    OwnershipLost,
    StoreLost,
    StoreRegained,
    CatalogueApplied,
    CatalogueStale,
    CatalogueFresh,
    MemberJoined,
    MemberSuspected,
    MemberRefuted,
    MemberLeft,
    WorkerEjected,
    WorkerReadmitted,
    WorkerLost,
    WorkerLeaving,
    RequestReceived,
    RequestSent,
    RequestRetried,
    RequestShed,
    RequestAnswered,
    ProcessStarted,
    ProcessStopping,
    InvariantViolated
};

} // namespace agatevane::timeline

template <> struct agatevane::EnumNames<agatevane::timeline::EventType> {
    using E = timeline::EventType;
    static constexpr std::array<std::pair<E, std::string_view>, 35> table { {
        { E::JobAccepted, "job_accepted" },
        { E::JobRefused, "job_refused" },
        { E::JobPrepared, "job_prepared" },
        { E::JobStarted, "job_started" },
        { E::JobPreempted, "job_preempted" },
        { E::JobStopped, "job_stopped" },
        { E::JobFinished, "job_finished" },
        { E::JobFailed, "job_failed" },
        { E::JobCancelled, "job_cancelled" },
        { E::JobImpossible, "job_impossible" },
        { E::GuaranteeClaimed, "guarantee_claimed" },
        { E::GuaranteeReduced, "guarantee_reduced" },
        { E::OwnershipTaken, "ownership_taken" },
        { E::OwnershipLost, "ownership_lost" },
        { E::StoreLost, "store_lost" },
        { E::StoreRegained, "store_regained" },
        { E::CatalogueApplied, "catalogue_applied" },
        { E::CatalogueStale, "catalogue_stale" },
        { E::CatalogueFresh, "catalogue_fresh" },
        { E::MemberJoined, "member_joined" },
        { E::MemberSuspected, "member_suspected" },
        { E::MemberRefuted, "member_refuted" },
        { E::MemberLeft, "member_left" },
        { E::WorkerEjected, "worker_ejected" },
        { E::WorkerReadmitted, "worker_readmitted" },
        { E::WorkerLost, "worker_lost" },
        { E::WorkerLeaving, "worker_leaving" },
        { E::RequestReceived, "request_received" },
        { E::RequestSent, "request_sent" },
        { E::RequestRetried, "request_retried" },
        { E::RequestShed, "request_shed" },
        { E::RequestAnswered, "request_answered" },
        { E::ProcessStarted, "process_started" },
        { E::ProcessStopping, "process_stopping" },
        { E::InvariantViolated, "invariant_violated" },
    } };
};

namespace agatevane::timeline {

//! One event. Fields that do not apply to its type are empty.
struct Event {
    std::uint64_t clock = 0; //!< Lamport clock
    std::uint64_t sequence = 0; //!< position in the ring of its process, from 1
    std::string process;
    EventType type = EventType::JobAccepted;
    std::int64_t unixMs = 0; //!< wall clock of its VM; used for display only, never for ordering
    JobId job;
    std::string request;
    WorkspaceId workspace;
    DataCentreId dataCentre;
    WorkerId worker;
    MemberId member;
    std::string detail;

    bool operator==(const Event&) const = default;
};

//! Orders events of different processes without synchronised clocks. Messages carry the value of the sender, and a
//! receiver advances its own clock to at least this value. Thread-safe.
class LamportClock {
public:
    //! Advances the clock and returns the time of an event or of a message that is about to be sent.
    std::uint64_t tick() { return value_.fetch_add(1) + 1; }

    //! Call this with the clock of each received message before recording the events that the message causes.
    void observe(std::uint64_t received)
    {
        auto current = value_.load();
        while (current < received && !value_.compare_exchange_weak(current, received)) { }
    }

    std::uint64_t value() const { return value_.load(); }

private:
    std::atomic<std::uint64_t> value_ { 0 };
};

//! HTTP header that carries the clock of the sender.
constexpr const char* clockHeader = "Agatevane-Clock";

} // namespace agatevane::timeline
