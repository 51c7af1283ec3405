#include "fakes.h"

#include "node/upkeep_controller.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr const char* machineId = "m1";

//! Machines that are all up, and that count the orders they get.
class FakeMachines : public node::MachinePort {
public:
    explicit FakeMachines(asio::io_context& context)
        : context_(context)
    {
    }

    int orders() const { return orders_; }

    void list(Instant, std::function<void(std::error_code, std::vector<upkeep::Machine>)> done) override
    {
        runLater([done = std::move(done)] { done({}, { { machineId, upkeep::MachineState::Up, {} } }); });
    }
    void beginUpkeep(const upkeep::UpkeepOrder&, Instant, std::function<void(upkeep::UpkeepOutcome)> done) override
    {
        ++orders_;
        runLater([done = std::move(done)] { done(upkeep::UpkeepOutcome::Refused); });
    }

private:
    void runLater(std::function<void()> action)
    {
        auto timer = std::make_shared<node::Timer>(context_);
        timer->arm(Millis(2), [timer, action = std::move(action)] { action(); });
    }

    asio::io_context& context_;
    int orders_ = 0;
};

struct ControllerFixture {
    ControllerFixture()
        : store(context, model)
        , machines(context)
        , translation(test::plainTranslation())
        , committer(context, store, fleet, 0, { [] {}, [](std::string_view) {}, [] { return false; } })
    {
        translation.wavePrefix = "waves/";
        translation.decodeWave = [](const kv::Item&, Findings&) {
            return std::optional(upkeep::WaveRequest { 1, { machineId }, Millis(60000), 1 });
        };
        translation.encodeWaveStatus = [](upkeep::WaveNumber, bool) { return kv::Put { "wave_status", {}, 0 }; };
        model.commit({ {}, { { "waves/1", {}, 0 } }, {} }, test::modelTimeMs());
        controller = std::make_unique<node::UpkeepController>(node::UpkeepController::Environment {
            context, store, machines, translation, fleet, committer, [this] { return isConfirmed; } });
        controller->start();
    }

    bool advanceUntil(Millis limit, const std::function<bool()>& condition)
    {
        return test::runUntil(context, limit, [&] {
            controller->advance();
            return condition();
        });
    }

    asio::io_context context;
    standin::KvModel model;
    test::FakeStore store;
    FakeMachines machines;
    node::Translation translation;
    fleet::Fleet fleet;
    node::Committer committer;
    std::unique_ptr<node::UpkeepController> controller;
    bool isConfirmed = true;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upkeep_controller, ControllerFixture)

// Guards against orders of two owners to the machines: an earlier owner's orders have to end before its successor's.
BOOST_AUTO_TEST_CASE(An_owner_orders_upkeep_only_while_the_store_confirms_it, *boost::unit_test::label("node"))
{
    isConfirmed = false;
    BOOST_CHECK(!advanceUntil(Millis(4000), [this] { return machines.orders() > 0; }));
    isConfirmed = true;
    BOOST_CHECK(advanceUntil(Millis(1000), [this] { return machines.orders() > 0; }));
}

// Guards against orders that overlap with those of an earlier owner, which sends them until its lease has run out.
BOOST_AUTO_TEST_CASE(A_new_owner_orders_no_upkeep_while_its_predecessor_may, *boost::unit_test::label("node"))
{
    constexpr Millis ownerLease { 1500 };
    constexpr Millis orderTimeout { 1000 };
    BOOST_CHECK(!advanceUntil(ownerLease + orderTimeout, [this] { return machines.orders() > 0; }));
    BOOST_CHECK(advanceUntil(Millis(2000), [this] { return machines.orders() > 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
