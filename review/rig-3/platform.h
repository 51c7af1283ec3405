#pragma once

#include "http.h"
#include "record.h"
#include "store.h"
#include "workers.h"
#include <memory>
#include <string>
#include <vector>

namespace rig {

//! The store and the workers of the platform, on one thread.
class Platform {
public:
    //! One worker for each element, of that kind.
    Platform(const std::vector<std::string>& kinds, Record& record, IsRecorded isRecorded);
    ~Platform();

    int storePort() const { return storePort_; }
    //! Writes the operator's desired state.
    void putDesiredState(const Json& state);

    //! Writes an entry with a service that the desired state doesn't name under the id of the worker with the most
    //! runs, as another writer may.
    void writeForeignEntry();
    //! Recorded subtasks of which two runs went on at the same time.
    std::vector<std::string> tasksRunTwiceAtOnce();

    std::size_t endsNotAcknowledged();
    std::int64_t startCount();
    std::int64_t endCount();
    std::int64_t highestFencingToken();
    int fencedOrders();
    std::size_t runningCount();
    //! Sums over all workers, and the time of the last end.
    Worker::Activity activityOf(const std::string& job);
    int oversizedTxns();
    std::size_t largestRefusedValue();
    std::int64_t msSinceCommit();

private:
    Record& record_;
    RunTimes runTimes_;
    Store store_;
    std::vector<std::unique_ptr<Worker>> workers_;
    Server server_;
    int storePort_ = 0;
};

} // namespace rig
