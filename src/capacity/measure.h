#pragma once

#include <functional>
#include <string>
#include <vector>

//! Measurements at several sizes and the line through them.
namespace agatevane::capacity {

struct Sample {
    double size = 0;
    double value = 0;
};

//! Least squares: value = intercept + slope * size.
struct Line {
    double intercept = 0;
    double slope = 0;

    double at(double size) const { return intercept + slope * size; }
};

Line fit(const std::vector<Sample>& samples);

struct Series {
    std::string name; //!< what was measured, with its unit
    std::string sizeName;
    std::vector<Sample> samples; //!< at least four

    Line line() const { return fit(samples); }
};

//! Processor seconds of this process, all threads.
double processorSeconds();

//! Bytes that are allocated on the heap now.
double heapBytes();

//! Processor microseconds for one call, as the least of three runs of at least 20 ms each.
double microsecondsOf(const std::function<void()>& call);

Series membershipBytes(); //!< B/s sent by a member, over members
Series membershipTick(); //!< us for one tick, over members
Series catalogueApply(); //!< us for one entry, over entries
Series catalogueMemory(); //!< bytes in all, over entries
Series dataCentreBytes(); //!< bytes of a data centre's entry, over workers
Series timelineMemory(); //!< bytes, over events held
Series timelineRecord(); //!< us for one event, over events held
Series metricsRender(); //!< us for one rendering, over series
Series rpcCall(); //!< us for one call, both ends, over payload bytes
Series httpPoll(); //!< us for one report over HTTP, both ends, over tasks
Series reportBytes(); //!< bytes of the bodies of report and renewal, over tasks
Series reportDecode(); //!< us, over tasks
Series renewEncode(); //!< us, over tasks
Series journalEncode(); //!< us, over records
Series journalBytes(); //!< bytes, over records
Series shardDecide(); //!< us for one decision with one changed job, over workers
Series shardMemory(); //!< bytes, over workers with 11 tasks each
Series fleetRound(); //!< us for a round of agatevane-node's owner in which nothing starts, over workers
Series fleetJob(); //!< us to accept, start and end a job of one task, over workers
Series fleetLook(); //!< us to take the answer of a look, over tasks
Series fleetMemory(); //!< bytes, over workers with 11 tasks each
Series fleetRecordBytes(); //!< bytes of the store's records, over accepted jobs

//! The whole page.
std::string report();

} // namespace agatevane::capacity
