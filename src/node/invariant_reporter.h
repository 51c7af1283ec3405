#pragma once

#include "agatevane/fleet/invariants.h"

namespace agatevane::node {

//! Looks for states of the fleet that contradict themselves, counts them and writes a log line for each. The program
//! goes on.
class InvariantReporter {
public:
    //! Checks the state if the last check was long enough ago. Called with each tick.
    void checkIfDue(fleet::Fleet& fleet, Instant at);

private:
    fleet::InvariantWatch watch_;
    Instant lastCallAt_;
    Instant nextCheckAt_;
};

} // namespace agatevane::node
