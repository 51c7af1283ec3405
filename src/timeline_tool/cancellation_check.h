#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/event_log/log_reader.h"
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

//! Looks in the logs of nodes for jobs that go on although their cancellation was acknowledged, and for the steps that
//! lead there. A cancellation counts as acknowledged if it was answered with success or with "no such job".
namespace agatevane::timeline_tool {

enum class Symptom {
    CancellationDenied, //!< "no such job" to the cancellation of a job that a node had accepted
    QueryDenied, //!< the same to a query
    StartAfterCancellation, //!< a start was ordered after the acknowledgement
    RunAfterCancellation, //!< a run ended, or was last known, after the acknowledgement
    UnknownRun, //!< a worker reported a run that its owner didn't know, of a cancelled job
    AnswerOfReplacedOwner, //!< a call was answered by an owner after a later one had been elected
    TwoOwners //!< an owner went on after a later one had been elected
};

//! One occurrence of a symptom. Texts are empty and times are missing where the symptom has none.
struct SymptomReport {
    Symptom symptom = Symptom::CancellationDenied;
    std::int64_t unixMs = 0; //!< when it was logged
    //! Age of the acceptance, of the acknowledgement or of the later election, by the symptom.
    std::int64_t ageMs = 0;
    //! The age was reckoned between the clocks of two machines, which may differ.
    bool isAcrossClocks = false;
    std::string process; //!< node that logged it
    std::string owner; //!< owner that was asked, ordered the run or was replaced
    std::string job;
    std::string run; //!< task and number of the run
    std::string worker;
    std::string detail;
};

//! Finds the symptoms in lines of any number of processes, in any order. Returns them by symptom, the longest ages
//! first.
std::vector<SymptomReport> checkCancellations(std::vector<event_log::LogLine> lines);

//! Formats counts for each symptom, then the first `perSymptom` reports of each.
std::string formatSymptoms(const std::vector<SymptomReport>& reports, std::size_t perSymptom);

} // namespace agatevane::timeline_tool

template <> struct agatevane::EnumNames<agatevane::timeline_tool::Symptom> {
    using E = timeline_tool::Symptom;
    static constexpr std::array<std::pair<E, std::string_view>, 7> table { {
        { E::CancellationDenied, "cancellation_denied" },
        { E::QueryDenied, "query_denied" },
        { E::StartAfterCancellation, "start_after_cancellation" },
        { E::RunAfterCancellation, "run_after_cancellation" },
        { E::UnknownRun, "unknown_run" },
        { E::AnswerOfReplacedOwner, "answer_of_replaced_owner" },
        { E::TwoOwners, "two_owners" },
    } };
};
