#pragma once

#include "load/verdict.h"
#include <map>
#include <mutex>
#include <set>

namespace agatevane::load {

//! Number of answers by verdict, and latencies, of one class, caller or kind of request.
struct VerdictCounts {
    std::map<Verdict, std::uint64_t> verdicts;
    std::vector<double> latenciesMs; //!< of requests with the verdict Done, measured from the planned arrival

    void add(Verdict verdict, double latencyMs);
    std::uint64_t count(Verdict verdict) const;
    std::uint64_t total() const;
};

struct Report {
    std::map<std::string, VerdictCounts> groups; //!< the keys are "calls", "jobs", "class urgent", "caller 1" and so on
    std::uint64_t lateStarts = 0; //!< requests sent more than 100 ms late because no thread was free
    std::vector<std::string> wrongAnswers; //!< descriptions of the first wrong answers
    std::uint64_t wrongCount = 0;
};

//! Sends the planned requests and judges each answer.
class Runner {
public:
    explicit Runner(const LoadSettings& settings);

    Report run(const std::vector<PlannedRequest>& plan);

private:
    void send(const PlannedRequest& request, Instant planned);
    http::ClientResult post(const PlannedRequest& request, std::size_t entry);
    void record(const PlannedRequest& request, const Judgement& judgement, double latencyMs);
    void reportWrong(const std::string& reason);
    void checkExecutions();

    const LoadSettings& settings_;
    std::vector<std::unique_ptr<http::Client>> entries_;
    std::mutex mutex_;
    Report report_;
    std::set<std::string> notRunBodies_; //!< digests of the bodies of calls answered as not run
    std::set<std::string> nonIdempotentBodies_; //!< digests of the bodies of calls that may run only once
};

} // namespace agatevane::load
