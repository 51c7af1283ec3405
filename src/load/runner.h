#pragma once

#include "load/verdict.h"
#include <map>
#include <mutex>
#include <set>

namespace agatevane::load {

//! Figures of one class, caller or kind.
struct Tally {
    std::map<Verdict, std::uint64_t> verdicts;
    std::vector<double> latenciesMs; //!< of answers Done, from the planned arrival

    void add(Verdict verdict, double latencyMs);
    std::uint64_t count(Verdict verdict) const;
    std::uint64_t total() const;
};

struct Report {
    std::map<std::string, Tally> groups; //!< "all", "class urgent", "caller 1", "jobs", ...
    std::uint64_t lateStarts = 0; //!< sent more than 100 ms after the planned arrival, since no thread was free
    std::vector<std::string> wrongAnswers; //!< the first ones, in words
    std::uint64_t wrongCount = 0;
};

//! Sends the plan and judges each answer.
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
    std::set<std::string> notRun_; //!< digests of the bodies of calls that were answered so
    std::set<std::string> notIdempotent_; //!< digests of the bodies
};

} // namespace agatevane::load
