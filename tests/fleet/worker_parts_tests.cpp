//! The stored record of many workers, which is split into parts.
#include "agatevane/fleet/worker_parts.h"

#include "agatevane/base/random.h"
#include "agatevane/fleet/worker_record.h"
#include "agatevane/net/archive.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr std::size_t maxValueBytes = 1024UL * 1024;

//! A fleet whose owner writes its records of workers into `store`, one transaction after the other.
struct NamingFixture {
    NamingFixture() { fleet.doStartsNeedNaming = true; }

    static std::string idOf(int number) { return "worker-" + std::to_string(number); }

    //! The worker is listed and has answered, so that the record has to name it.
    void addWorker(int number)
    {
        fleet::WorkerListing listing;
        listing.id = idOf(number);
        listing.address = { "10.200.100.100", 8524 };
        listing.service = "training";
        listing.zone = "zone-a";
        listing.rack = "rack-10";
        listing.labels = { "kind-a", "rack-10" };
        listing.incarnation = 1;
        fleet::applyListing(fleet, listing, at);
        fleet.workers.at(listing.id).hasAnsweredPoll = true;
    }

    std::optional<fleet::WorkersWrite> nextWrite() const
    {
        return fleet::nextWorkersWrite(stored, fleet::workersToName(fleet, at), fleet::BatchLimits { 15 });
    }

    void apply(const fleet::WorkersWrite& write)
    {
        for (const auto& put : fleet::putsOf(write)) {
            BOOST_CHECK_LE(put.value.size(), maxValueBytes);
            store[put.key] = put.value;
        }
        fleet::completeNaming(fleet, stored, write);
    }

    int writeAll()
    {
        int writes = 0;
        for (auto write = nextWrite(); write; write = nextWrite()) {
            fleet::beginNaming(fleet, *write);
            apply(*write);
            ++writes;
        }
        return writes;
    }

    fleet::ReadWorkers readStore()
    {
        items.clear();
        for (const auto& [key, value] : store)
            items.push_back({ key, value });
        return fleet::readWorkers(items);
    }

    //! Workers that may get starts although the store doesn't name them.
    std::size_t unnamedStartable()
    {
        std::set<fleet::WorkerId> named;
        for (const auto& listing : readStore().listings)
            named.insert(listing.id);
        std::size_t count = 0;
        for (const auto& [id, worker] : fleet.workers)
            count += !worker.awaitsNaming && !named.contains(id) ? 1 : 0;
        return count;
    }

    fleet::Fleet fleet;
    fleet::StoredWorkers stored;
    std::map<std::string, std::string> store;
    std::vector<kv::Item> items;
    Instant at = Instant(std::chrono::hours(1));
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(worker_parts, NamingFixture)

// Guards against a record of workers that the store does not take, so that no worker gets any work.
BOOST_AUTO_TEST_CASE(Records_of_very_many_workers_stay_short, *boost::unit_test::label("workers"))
{
    constexpr int workers = 19000;
    for (int number = 0; number < workers; ++number)
        addWorker(number);
    BOOST_CHECK_GT(net::encode(fleet::workersToName(fleet, at)).size(), maxValueBytes);
    auto writes = writeAll();
    BOOST_CHECK_LE(writes, 30);
    auto read = readStore();
    BOOST_CHECK_EQUAL(read.listings.size(), static_cast<std::size_t>(workers));
    BOOST_CHECK(!read.unreadable && !read.isMissing && read.stored.isSplit);
    BOOST_CHECK(std::none_of(
        fleet.workers.begin(), fleet.workers.end(), [](const auto& each) { return each.second.awaitsNaming; }));
    addWorker(workers);
    auto write = nextWrite();
    BOOST_REQUIRE(write);
    BOOST_CHECK_EQUAL(fleet::putsOf(*write).size(), 1U);
    BOOST_CHECK_EQUAL(writeAll(), 1);
    BOOST_CHECK_EQUAL(unnamedStartable(), 0U);
}

// Guards against a start that a later owner does not know of, at each moment of the change from one record to parts,
// and while workers come and go.
BOOST_AUTO_TEST_CASE(No_worker_is_startable_that_the_store_does_not_name, *boost::unit_test::label("workers"))
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        NamingFixture owner;
        Random random(seed);
        int next = 0;
        for (int round = 0; round < 60; ++round) {
            for (auto added = uniform(random, 0, 60); added > 0; --added)
                owner.addWorker(next++);
            if (next > 0) {
                auto& gone = owner.fleet.workers.at(idOf(static_cast<int>(uniform(random, 0, next - 1))));
                gone.hasAnsweredPoll = uniform(random, 0, 1) == 0;
            }
            if (auto write = owner.nextWrite()) {
                fleet::beginNaming(owner.fleet, *write);
                BOOST_REQUIRE_EQUAL(owner.unnamedStartable(), 0U);
                if (uniform(random, 0, 4) > 0)
                    owner.apply(*write);
            }
            BOOST_REQUIRE_EQUAL(owner.unnamedStartable(), 0U);
        }
        BOOST_CHECK(owner.stored.isSplit);
        BOOST_CHECK(owner.readStore().stored.parts == owner.stored.parts);
    }
}

// Guards against an owner of an earlier build that waits for too few workers.
BOOST_AUTO_TEST_CASE(An_earlier_build_can_not_read_a_split_record, *boost::unit_test::label("workers"))
{
    for (int number = 0; number < 1000; ++number)
        addWorker(number);
    writeAll();
    std::vector<fleet::WorkerListing> listings;
    BOOST_CHECK(!net::decode(store.at(fleet::knownWorkersKey), listings));
}

// Guards against parts that are taken for complete although one is damaged.
BOOST_AUTO_TEST_CASE(A_damaged_part_is_reported, *boost::unit_test::label("workers"))
{
    for (int number = 0; number < 1000; ++number)
        addWorker(number);
    writeAll();
    auto key = fleet::workerPartPrefix + std::to_string(stored.parts.begin()->first);
    store.at(key).pop_back();
    auto read = readStore();
    BOOST_REQUIRE(read.unreadable);
    BOOST_CHECK_EQUAL(read.unreadable->key, key);
}

BOOST_AUTO_TEST_SUITE_END()
