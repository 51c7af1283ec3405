#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

//! What callers have sent and been told, and whether the workers' history agrees with it.
namespace agatevane::soak {

//! One job as its caller knows it. Times are milliseconds of this process; -1: has not happened.
struct JobEntry {
    int tasks = 1;
    int acceleratorsPerTask = 1;
    bool isGang = false;
    std::int64_t firstSentMs = -1;
    std::int64_t acceptedMs = -1;
    bool mayHaveArrived = false; //!< an attempt got no answer, or one that leaves it open
    bool isGivenUp = false; //!< all attempts are used up
    std::int64_t cancelSentMs = -1;
    std::int64_t cancelAckedMs = -1;
    std::string state; //!< the last one shown
    std::int64_t endedMs = -1; //!< first shown as ended

    bool isRefused() const { return isGivenUp && acceptedMs < 0 && !mayHaveArrived; }
    bool isOwed() const { return acceptedMs >= 0 && cancelSentMs < 0 && endedMs < 0; }
};

//! A run as the workers saw it.
struct RunEntry {
    std::string job;
    std::string task; //!< the job's id is its beginning
    std::uint32_t number = 0;
    std::string worker;
    std::int64_t beganMs = 0;
    std::int64_t endedMs = -1; //!< -1: still there
    std::string how;
    bool isNoted = false; //!< its end was acknowledged before its worker's lease lapsed
};

struct Ledger {
    std::map<std::string, JobEntry> jobs;
    std::vector<std::string> breaches;
};

constexpr int acceleratorsPerWorker = 8;
//! A cancelled job starts nothing any more this long after the acknowledgement.
constexpr std::int64_t cancelBoundMs = 3000;
//! An accepted job is known at every node this long after the acknowledgement.
constexpr std::int64_t visibleBoundMs = 3000;

//! The answer to a GET for a job's state.
struct StateAnswer {
    int status = 0;
    std::string state;
    std::int64_t sentMs = 0;
    std::int64_t receivedMs = 0;
};

//! Enters an answer, and whatever it breaks. Answers may overtake each other: one breaks an earlier one only if it was
//! asked for after that had been received.
void noteState(Ledger& ledger, const std::string& job, const StateAnswer& answer);

//! Enters what the workers' history breaks.
void checkRuns(Ledger& ledger, const std::vector<RunEntry>& runs);

} // namespace agatevane::soak
