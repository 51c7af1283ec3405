#pragma once

#include <functional>
#include <string>
#include <vector>

//! Measures costs at several sizes and fits a line through the measurements.
namespace agatevane::capacity {

struct Sample {
    double size = 0;
    double value = 0;
};

//! The line value = intercept + slope * size, fitted by least squares.
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

//! Returns the processor time of all threads of this process, in seconds.
double processorSeconds();

//! Returns the number of bytes that are currently allocated on the heap.
double heapBytes();

//! Returns the processor time of one call in microseconds: the lowest mean of three runs of at least 20 ms each.
double measureMicroseconds(const std::function<void()>& call);

// Each function measures one series. Its note gives the value with its unit, and the size that is varied.

Series membershipBytes(); //!< B/s sent by a member, over members
Series membershipTick(); //!< us for one tick, over members
Series catalogueApply(); //!< us for one entry, over entries
Series catalogueMemory(); //!< bytes of the whole view, over entries
Series dataCentreBytes(); //!< bytes of a data centre's entry, over workers
Series timelineMemory(); //!< bytes, over events held
Series timelineRecord(); //!< us for one event, over events held
Series metricsRender(); //!< us for one rendering, over series
Series rpcCall(); //!< us for one call, both ends, over payload bytes
Series httpPoll(); //!< us for one report over HTTP, both ends, over tasks
Series reportBytes(); //!< bytes of the bodies of report and renewal, over tasks
Series reportDecode(); //!< us for one report, over tasks
Series renewEncode(); //!< us for one renewal, over tasks
Series journalEncode(); //!< us for one batch, over records
Series journalBytes(); //!< bytes of one batch, over records
Series shardDecide(); //!< us for one decision with one changed job, over workers
Series shardMemory(); //!< bytes, over workers with 11 tasks each
Series fleetRound(); //!< us for a round of agatevane-node's owner in which nothing starts, over workers
Series fleetJob(); //!< us to accept, start and end a job of one task, over workers
Series fleetPollAnswer(); //!< us to apply a worker's answer to a poll, over tasks
Series fleetMemory(); //!< bytes, over workers with 11 tasks each
Series fleetRecordBytes(); //!< bytes of the store's records, over accepted jobs

//! Runs all measurements and returns the whole Markdown page.
std::string report();

} // namespace agatevane::capacity
