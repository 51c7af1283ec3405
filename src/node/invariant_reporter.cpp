#include "node/invariant_reporter.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/metrics/process.h"

namespace agatevane::node {

namespace {

    //! A check takes some milliseconds on a large fleet.
    constexpr Millis checkInterval { 1000 };
    //! After a longer pause between two calls, the process was held up and could stop no run in time.
    constexpr Millis maxCallInterval { 500 };
    //! More new violations in one check are counted and not logged: they have the same cause.
    constexpr int maxLinesPerCheck = 20;

    void log(const fleet::Violation& violation)
    {
        event_log::Line("invariant_violated")
            .with("name", nameOf(violation.breach))
            .with("job", violation.task.job)
            .with("task", toString(violation.task))
            .with("run", violation.run)
            .with("worker", violation.worker)
            .with("reason", violation.text);
    }

} // namespace

void InvariantReporter::checkIfDue(fleet::Fleet& fleet, Instant at)
{
    if (std::exchange(lastCallAt_, at) + maxCallInterval < at)
        watch_.heldUpUntil = at;
    if (at < nextCheckAt_)
        return;
    nextCheckAt_ = at + checkInterval;
    int linesLeft = maxLinesPerCheck;
    for (const auto& violation : fleet::takeNewViolations(watch_, fleet, at)) {
        metrics::reportViolation(std::string(nameOf(violation.breach)), toString(violation));
        if (linesLeft-- > 0)
            log(violation);
    }
}

} // namespace agatevane::node
