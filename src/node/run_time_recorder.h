#pragma once

#include "agatevane/fleet/state.h"
#include "agatevane/kv/kv.h"
#include "node/committer.h"

namespace agatevane::node {

//! Key under which the owner stores the learned run times for a later owner.
constexpr const char* runTimesKey = "agatevane/run_times";

//! Takes over the learned run times of earlier owners, stores those of this owner, and counts finished runs in the
//! metrics.
class RunTimeRecorder {
public:
    RunTimeRecorder(fleet::Fleet& fleet, Committer& committer);

    //! Takes over the record among `items`. Without one, or if it can't be read, the declared times are used until
    //! there are enough samples.
    void load(const kv::ReadResult& items, Instant at);
    //! Stores the run times if they have changed and the last record is old enough. Called with each round.
    void saveIfDue(Instant at);

private:
    void countFinished();

    fleet::Fleet& fleet_;
    Committer& committer_;
    std::uint64_t savedChanges_ = 0; //!< `Model::changes` of the last record
    Instant nextSaveAt_;
};

} // namespace agatevane::node
