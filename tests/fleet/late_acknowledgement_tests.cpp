#include "polled_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

//! Two plans of the soak as simulated cases without random draws: a worker restarts while ends of its runs wait to be
//! acknowledged. The instant of the restart, or of the late polls, is varied in small steps.
using namespace agatevane;

namespace {

constexpr std::int64_t stepMs = test::PolledFleet::stepMs;
constexpr std::int64_t lengthMs = 20000;
constexpr std::int64_t submitIntervalMs = 60;

struct Span {
    std::int64_t beginMs = 0;
    std::int64_t endMs = 0;

    bool contains(std::int64_t ms) const { return ms >= beginMs && ms < endMs; }
};

struct Script {
    std::vector<std::int64_t> durationsMs; //!< of the jobs, in turn
    fleet::WorkerId restarted;
    std::int64_t restartAtMs = 0;
    Span storeCut; //!< what is committed in it becomes durable at its end
    Span latePolls; //!< polls that are sent to the restarted worker in it are late
    std::int64_t pollDelayMs = 0; //!< how late they are carried out; they are not answered
};

class ScriptedFleet : public test::PolledFleet {
public:
    explicit ScriptedFleet(const Script& script)
        : script_(script)
    {
    }

    //! Runs that ended well on the restarted worker after its restart.
    std::size_t endsOfNextIncarnation() const
    {
        return static_cast<std::size_t>(std::count_if(runs().begin(), runs().end(), [this](const auto& record) {
            return record.worker == script_.restarted && record.beganMs >= script_.restartAtMs
                && record.end == fleet::EndKind::Done;
        }));
    }

    //! Late polls that acknowledged an end to the next incarnation.
    std::size_t lateAcknowledgements() const { return lateAcknowledgements_; }

private:
    void changeWorld() override
    {
        if (nowMs_ == script_.restartAtMs)
            workers_.restart(script_.restarted, nowMs_);
        if (nowMs_ % submitIntervalMs == 0)
            submit(script_.durationsMs[submitted_++ % script_.durationsMs.size()]);
    }

    std::int64_t linkDelayMs() override { return 5; }

    std::int64_t commitDelayMs() override
    {
        constexpr std::int64_t commitMs = 20;
        return script_.storeCut.contains(nowMs_) ? script_.storeCut.endMs - nowMs_ : commitMs;
    }

    void sendPoll(const fleet::PollOrder& order) override
    {
        if (order.worker != script_.restarted || !script_.latePolls.contains(nowMs_))
            return pollInTime(order);
        pollLate(order, script_.pollDelayMs, [this, order] {
            lateAcknowledgements_ += order.lastAcknowledgedEnd > 0 && nowMs_ > script_.restartAtMs ? 1 : 0;
        });
    }

    Script script_;
    std::size_t submitted_ = 0;
    std::size_t lateAcknowledgements_ = 0;
};

//! What shows that a script has reached what it is for.
struct Reached {
    std::size_t endsOfNextIncarnation = 0;
    std::size_t lateAcknowledgements = 0;
};

//! Plays the script once.
Reached checkScript(const Script& script)
{
    ScriptedFleet fleet(script);
    fleet.run(lengthMs);
    BOOST_CHECK_MESSAGE(fleet.repeatedRuns().empty(),
        fleet.repeatedRuns().size() << " tasks ran again; restart at " << script.restartAtMs << " ms, polls "
                                    << script.pollDelayMs << " ms late");
    return { fleet.endsOfNextIncarnation(), fleet.lateAcknowledgements() };
}

} // namespace

BOOST_AUTO_TEST_SUITE(late_acknowledgements)

// Guards against a task that runs again after it has succeeded (plan of soak seed 12): a worker restarts right before a
// poll with an acknowledgement reaches it, and the poll forgets the ends of the next incarnation.
BOOST_AUTO_TEST_CASE(An_acknowledgement_that_meets_a_restart_forgets_no_end)
{
    constexpr std::int64_t plannedRestartMs = 10350;
    Script script { { 800, 250, 400 }, "w2" };
    std::size_t ends = 0;
    for (std::int64_t laterMs = 0; laterMs < 400; laterMs += stepMs) {
        script.restartAtMs = plannedRestartMs + laterMs;
        ends += checkScript(script).endsOfNextIncarnation;
    }
    BOOST_CHECK_GT(ends, 0U);
}

// As above, where the restart falls into a time in which the owner can't reach the store.
BOOST_AUTO_TEST_CASE(An_acknowledgement_after_a_cut_from_the_store_forgets_no_end)
{
    Script script { { 800, 250, 400 }, "w2" };
    script.storeCut = { 8187, 10360 };
    std::size_t ends = 0;
    for (std::int64_t restartAtMs = 10250; restartAtMs < 10650; restartAtMs += stepMs) {
        script.restartAtMs = restartAtMs;
        ends += checkScript(script).endsOfNextIncarnation;
    }
    BOOST_CHECK_GT(ends, 0U);
}

// Guards against a task that runs again after it has succeeded (plan of soak seed 46): polls are carried out late, by
// the worker's next incarnation, and forget the ends of runs there.
BOOST_AUTO_TEST_CASE(A_poll_delayed_past_a_restart_forgets_no_end)
{
    Script script { { 60, 120, 900 }, "w1" };
    script.restartAtMs = 9605;
    std::size_t acknowledgements = 0;
    for (std::int64_t beginMs = 8660; beginMs < 8740; beginMs += stepMs) {
        script.latePolls = { beginMs, 9498 };
        for (script.pollDelayMs = 1900; script.pollDelayMs < 2020; script.pollDelayMs += 2 * stepMs)
            acknowledgements += checkScript(script).lateAcknowledgements;
    }
    BOOST_CHECK_GT(acknowledgements, 0U);
}

BOOST_AUTO_TEST_SUITE_END()
