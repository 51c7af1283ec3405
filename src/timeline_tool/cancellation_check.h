#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/instant.h"
#include "agatevane/event_log/log_reader.h"
#include <array>
#include <cstdint>
#include <string>
#include <vector>

//! Looks in the logs of nodes for jobs that go on although their cancellation was acknowledged, and for the steps that
//! lead there. A cancellation counts as acknowledged if it was answered with success or with "no such job".
namespace agatevane::timeline_tool {

enum class Symptom {
    CancellationDenied, //!< "no such job" to the cancellation of a job that a node had accepted
    QueryDenied, //!< the same to a query
    StartAfterCancellation, //!< a start was ordered after the acknowledgement
    LongRun, //!< a run was reported later after the acknowledgement than the bound allows
    RunNotEnded, //!< no end of the run is logged, and the logs go on for longer than the bound
    EndNotLogged, //!< the same, but an owner that may have logged it has dropped lines
    DeniedToOther, //!< "no such job" to a caller with another tenant and another queue than the submission's
    UnknownRun, //!< a worker reported a run that its owner didn't know, of a cancelled or ended job
    DenialOfReplacedOwner, //!< "no such job" from an owner after a later one had been elected
    AnswerOfReplacedOwner, //!< "ok" from an owner after a later one had been elected
    UnconfirmedAnswer, //!< an owner that the store no longer confirmed answered "ok" or "no such job"
    TwoOwners //!< an owner went on after a later one had been elected
};

//! How far the times of two lines can be compared.
enum class Certainty {
    OneClock, //!< one process logged both
    TwoClocks, //!< two processes logged them, whose clocks may differ
    SteppedClock //!< the clock of one of them was set back
};

//! One occurrence of a symptom. Texts are empty where the symptom has none.
struct SymptomReport {
    Symptom symptom = Symptom::CancellationDenied;
    std::int64_t unixMs = 0; //!< when it was logged
    //! Age in ms of the acceptance, of the acknowledgement or of the later election, by the symptom.
    std::int64_t ageMs = 0;
    Certainty certainty = Certainty::OneClock; //!< of the age
    std::string process; //!< node that logged it
    std::string owner; //!< owner that was asked or replaced
    std::string job;
    std::string run; //!< task and number of the run
    std::string worker;
    std::string detail;
};

struct CheckLimits {
    Millis runBound { 4200 }; //!< a cancelled run may be reported for this long: 200 ms for the call, 4 s to stop
    Millis statusRetention { 120000 }; //!< owners know an ended job for this long
};

//! True if the symptom is a fault by itself, false if it is a step that can lead to one or cannot be told.
bool isFault(Symptom symptom);

//! True if a report is a fault and doesn't rest on a clock that was set back.
bool isSureFault(const SymptomReport& report);

//! Finds the symptoms in lines of any number of processes; those of one process in the order in which it wrote them.
//! Returns them by symptom, the longest ages first.
std::vector<SymptomReport> checkCancellations(std::vector<event_log::LogLine> lines, const CheckLimits& limits);

//! Formats counts for each symptom, then the first `perSymptom` reports of each.
std::string formatSymptoms(const std::vector<SymptomReport>& reports, std::size_t perSymptom);

} // namespace agatevane::timeline_tool

template <> struct agatevane::EnumNames<agatevane::timeline_tool::Symptom> {
    using E = timeline_tool::Symptom;
    static constexpr std::array<std::pair<E, std::string_view>, 12> table { {
        { E::CancellationDenied, "cancellation_denied" },
        { E::QueryDenied, "query_denied" },
        { E::StartAfterCancellation, "start_after_cancellation" },
        { E::LongRun, "long_run" },
        { E::RunNotEnded, "run_not_ended" },
        { E::EndNotLogged, "end_not_logged" },
        { E::DeniedToOther, "denied_to_other" },
        { E::UnknownRun, "unknown_run" },
        { E::DenialOfReplacedOwner, "denial_of_replaced_owner" },
        { E::AnswerOfReplacedOwner, "answer_of_replaced_owner" },
        { E::UnconfirmedAnswer, "unconfirmed_answer" },
        { E::TwoOwners, "two_owners" },
    } };
};

template <> struct agatevane::EnumNames<agatevane::timeline_tool::Certainty> {
    using E = timeline_tool::Certainty;
    static constexpr std::array<std::pair<E, std::string_view>, 3> table { {
        { E::OneClock, "one_clock" },
        { E::TwoClocks, "two_clocks" },
        { E::SteppedClock, "stepped_clock" },
    } };
};
