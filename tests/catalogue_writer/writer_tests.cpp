#include "agatevane/base/error.h"
#include "agatevane/catalogue/codec.h"
#include "agatevane/catalogue_writer/catalogue_writer.h"
#include "standins/store/memory_store.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <thread>

using namespace agatevane;

namespace {

constexpr Millis timeout { 5000 };

//! An in-memory store that loses answers and drops or delays writes at random.
struct FaultyStore {
    standin::MemoryStore store;
    std::mutex mutex;
    Random random;
    int faultPercent = 0;
    bool isDown = false;
    std::vector<std::pair<std::string, std::string>> delayed;

    explicit FaultyStore(std::uint64_t seed = 1)
        : random(seed)
    {
    }

    http::ClientResult execute(const std::string& path, const std::string& body)
    {
        http::ClientResult answer { {}, 200, {}, {} };
        try {
            auto request = standin::Json::parse(body);
            answer.body = (path == "/v3/kv/range" ? store.range(request) : store.txn(request)).dump();
        } catch (const standin::StoreError& error) {
            answer.status = 400;
            answer.body = error.message;
        }
        return answer;
    }

    http::ClientResult send(const std::string& path, const std::string& body)
    {
        std::lock_guard lock(mutex);
        if (isDown)
            return { Errc::Unreachable, 0, {}, {} };
        auto chance = [&](int percent) { return uniform(random, 1, 100) <= percent; };
        if (!delayed.empty() && chance(30)) {
            execute(delayed.back().first, delayed.back().second);
            delayed.pop_back();
        }
        if (!chance(faultPercent))
            return execute(path, body);
        switch (uniform(random, 0, 3)) {
        case 0:
            return { Errc::Unreachable, 0, {}, {} };
        case 1:
            execute(path, body);
            break;
        case 2:
            if (path == "/v3/kv/txn")
                delayed.emplace_back(path, body);
            break;
        default:
            break;
        }
        return { Errc::Timeout, 0, {}, {} };
    }

    store::Client::Transport transport()
    {
        return [this](const std::string& path, const std::string& body, Instant) { return send(path, body); };
    }
};

//! One VM that serves the administration API, with its own copy of the catalogue.
struct Vm {
    store::Client client;
    CatalogueFeed feed;
    CatalogueWriter writer;

    explicit Vm(FaultyStore& store)
        : client(store.transport())
        , feed(client, nullptr, nullptr)
        , writer(client, feed)
    {
    }

    ChangeResult put(const Entry& entry, std::optional<std::int64_t> expected, Millis budget = timeout)
    {
        return writer.apply({ keyOf(entry), encodeEntry(entry), expected }, now() + budget);
    }
};

WorkspaceEntry workspace(const std::string& name, double weight = 1, int guaranteed = 0)
{
    WorkspaceEntry entry { .id = { name }, .weight = weight };
    if (guaranteed > 0)
        entry.guarantees = { { { "harju" }, guaranteed } };
    return entry;
}

//! A data centre of two racks with 8 accelerators each. Guarantees must hold after the failure of one rack, so 8
//! accelerators can be guaranteed.
DataCentreEntry dataCentre()
{
    DataCentreEntry entry { { "harju" }, { "north" }, "", {} };
    for (const std::string name : { "w1", "w2" })
        entry.workers.push_back({ .id = { name }, .rack = { name }, .address = name + ":1", .capacity = { 8, 1, 1 } });
    return entry;
}

} // namespace

BOOST_AUTO_TEST_CASE(A_change_is_accepted_only_if_its_expected_revision_is_current, *boost::unit_test::label("writer"))
{
    FaultyStore store;
    Vm vm(store);
    auto created = vm.put(workspace("a", 1), 0);
    BOOST_REQUIRE((created.status == ChangeStatus::Done));
    auto changed = vm.put(workspace("a", 2), created.revision);
    BOOST_REQUIRE((changed.status == ChangeStatus::Done));
    BOOST_TEST(changed.revision > created.revision);
    auto late = vm.put(workspace("a", 3), created.revision);
    BOOST_TEST((late.status == ChangeStatus::Conflict));
    BOOST_TEST(late.currentRevision == changed.revision);
    BOOST_TEST((late.current == encodeEntry(workspace("a", 2))));
    BOOST_TEST((vm.put(workspace("a", 4), std::nullopt).status == ChangeStatus::Done));
    EntryKey key { EntryKind::Workspace, "a" };
    BOOST_TEST(
        (vm.writer.apply({ key, std::nullopt, changed.revision }, now() + timeout).status == ChangeStatus::Conflict));
    BOOST_TEST((vm.writer.apply({ key, std::nullopt, std::nullopt }, now() + timeout).status == ChangeStatus::Done));
    BOOST_TEST(
        (vm.writer.apply({ key, std::nullopt, std::nullopt }, now() + timeout).status == ChangeStatus::NotFound));
    BOOST_TEST(vm.feed.current()->workspaces.empty());
}

BOOST_AUTO_TEST_CASE(An_invalid_change_is_refused_with_all_findings, *boost::unit_test::label("writer"))
{
    FaultyStore store;
    Vm vm(store);
    auto result
        = vm.writer.apply({ { EntryKind::Workspace, "a" }, R"({"id":"b","weight":-1,"floor":1})", 0 }, now() + timeout);
    BOOST_TEST((result.status == ChangeStatus::Invalid));
    BOOST_TEST(result.findings.size() == 2U);
    BOOST_TEST((vm.put(workspace("a", 1, 5), 0).status == ChangeStatus::Invalid)); // The data centre does not exist.
    BOOST_TEST((vm.put(dataCentre(), 0).status == ChangeStatus::Done));
    BOOST_TEST((vm.put(workspace("a", 1, 5), 0).status == ChangeStatus::Done));
    BOOST_TEST((vm.put(workspace("b", 1, 4), 0).status == ChangeStatus::Invalid));
    EntryKey key { EntryKind::DataCentre, "harju" };
    BOOST_TEST((vm.writer.apply({ key, std::nullopt, std::nullopt }, now() + timeout).status == ChangeStatus::Invalid));
}

BOOST_AUTO_TEST_CASE(Changes_are_refused_while_the_store_is_unavailable, *boost::unit_test::label("writer"))
{
    FaultyStore store;
    Vm vm(store);
    store.isDown = true;
    BOOST_TEST((vm.put(workspace("a"), 0).status == ChangeStatus::Unavailable));
}

// Guards against two guarantees that are raised on two VMs at the same time and fit one by one but not together.
BOOST_AUTO_TEST_CASE(Concurrent_changes_of_different_entries_cannot_exceed_the_guaranteeable_accelerators,
    *boost::unit_test::label("race"))
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        FaultyStore store(seed);
        Vm first(store);
        Vm second(store);
        BOOST_REQUIRE((first.put(dataCentre(), 0).status == ChangeStatus::Done));
        ChangeResult a;
        ChangeResult b;
        std::thread thread([&] { a = first.put(workspace("a", 1, 5), 0); });
        b = second.put(workspace("b", 1, 5), 0);
        thread.join();
        BOOST_TEST(((a.status == ChangeStatus::Done) != (b.status == ChangeStatus::Done)));
        BOOST_TEST(((a.status == ChangeStatus::Invalid) != (b.status == ChangeStatus::Invalid)));
    }
}

// Guards against two changes of the same revision that are both reported as accepted, and against a change that is
// reported as refused although it is in force.
RC_BOOST_PROP(at_most_one_of_several_concurrent_changes_of_a_revision_is_accepted, (std::uint64_t seed))
{
    FaultyStore store(seed);
    Vm setup(store);
    auto base = setup.put(workspace("a", 1), 0);
    RC_ASSERT(base.status == ChangeStatus::Done);
    store.faultPercent = static_cast<int>(seed % 40);
    constexpr int operators = 4;
    std::vector<ChangeResult> results(operators);
    std::vector<std::thread> threads;
    for (int i = 0; i < operators; ++i) {
        threads.emplace_back([&, i] {
            Vm vm(store);
            results[static_cast<std::size_t>(i)] = vm.put(workspace("a", 10 + i), base.revision, Millis(1500));
        });
    }
    for (auto& thread : threads)
        thread.join();
    for (const auto& [path, body] : store.delayed)
        store.execute(path, body);
    store.faultPercent = 0;
    Vm reader(store);
    RC_ASSERT(!reader.feed.refresh(now() + timeout));
    auto final = reader.feed.find({ EntryKind::Workspace, "a" });
    RC_ASSERT(final.has_value());
    int winners = 0;
    for (int i = 0; i < operators; ++i) {
        const auto& result = results[static_cast<std::size_t>(i)];
        bool isInForce = final->value == encodeEntry(workspace("a", 10 + i));
        winners += result.status == ChangeStatus::Done ? 1 : 0;
        if (result.status == ChangeStatus::Done) {
            RC_ASSERT(isInForce);
            RC_ASSERT(result.revision == final->revision);
        } else if (result.status != ChangeStatus::Unknown) {
            RC_ASSERT(!isInForce);
        }
        RC_ASSERT(result.status != ChangeStatus::Invalid);
    }
    RC_ASSERT(winners <= 1);
    if (seed % 40 == 0)
        RC_ASSERT(winners == 1);
}

BOOST_AUTO_TEST_CASE(
    The_log_distinguishes_applied_changes_from_missing_and_dropped_ones, *boost::unit_test::label("log"))
{
    ChangeLog log;
    for (int i = 0; i < 100; ++i)
        log = withChange(log, std::to_string(i));
    auto read = decodeChangeLog(encodeChangeLog(log));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((changeOutcomeOf(*read, "99", 99) == ChangeOutcome::Applied));
    BOOST_TEST((changeOutcomeOf(*read, "36", 36) == ChangeOutcome::Applied));
    BOOST_TEST((changeOutcomeOf(*read, "x", 36) == ChangeOutcome::NotApplied));
    BOOST_TEST((changeOutcomeOf(*read, "35", 35) == ChangeOutcome::Unknown));
    BOOST_TEST(!decodeChangeLog("{}"));
}
