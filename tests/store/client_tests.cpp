#include "agatevane/base/error.h"
#include "agatevane/store/client.h"
#include "agatevane/store/watcher.h"
#include "standins/store/store_server.h"
#include <boost/test/unit_test.hpp>
#include <condition_variable>

using namespace agatevane;
using namespace agatevane::store;

namespace {

constexpr Millis timeout { 5000 };

struct RunningStore {
    standin::StoreServer server;
    std::unique_ptr<Client> client;

    explicit RunningStore(standin::StoreSettings settings = {})
        : server(fast(settings))
    {
        BOOST_REQUIRE(!server.start());
        client = std::make_unique<Client>(endpoints());
    }

    static standin::StoreSettings fast(standin::StoreSettings settings)
    {
        settings.threads = 16;
        settings.progressMs = 100;
        settings.lostAnswerMs = 400;
        return settings;
    }

    std::vector<http::Endpoint> endpoints() const { return { { "127.0.0.1", server.port(), false, {} } }; }

    Instant deadline() const { return now() + timeout; }
    void put(const std::string& key, const std::string& value)
    {
        BOOST_REQUIRE(client->put({ key, value, 0 }, deadline()).ok());
    }
};

//! Applies the reports of a watcher to a copy of the keys.
struct KeyMirror {
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::string> state;
    Revision revision = 0;
    int snapshots = 0;

    WatchHandlers handlers()
    {
        return { [this](const std::vector<KeyValue>& kvs, Revision at) {
                    std::lock_guard lock(mutex);
                    state.clear();
                    for (const auto& kv : kvs)
                        state[kv.key] = kv.value;
                    advance(at);
                    ++snapshots;
                },
            [this](const std::vector<Event>& events, Revision at) {
                std::lock_guard lock(mutex);
                for (const auto& event : events) {
                    if (event.type == EventType::Put)
                        state[event.kv.key] = event.kv.value;
                    else
                        state.erase(event.kv.key);
                }
                advance(at);
            },
            [this](Revision at) {
                std::lock_guard lock(mutex);
                advance(at);
            } };
    }

    void advance(Revision at)
    {
        BOOST_TEST(at > revision);
        revision = at;
        changed.notify_all();
    }

    bool waitFor(Revision target)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, timeout, [&] { return revision >= target; });
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(A_conditional_write_succeeds_once, *boost::unit_test::label("client"))
{
    RunningStore store;
    Txn create { .compares = { modifiedAt("k", 0) },
        .success = { { PutRequest { "k", "v", 0 } } },
        .failure = { { RangeRequest { .key = "k" } } } };
    auto first = store.client->txn(create, store.deadline());
    BOOST_REQUIRE(first.ok());
    BOOST_TEST(first.value.succeeded);
    auto second = store.client->txn(create, store.deadline());
    BOOST_REQUIRE(second.ok());
    BOOST_TEST(!second.value.succeeded);
    const auto& found = std::get<RangeResult>(second.value.results.at(0).result);
    BOOST_TEST(found.kvs.at(0).value == "v");
    BOOST_TEST(found.kvs.at(0).modRevision == first.revision);
    BOOST_TEST(store.client->counts().writes == 2);
}

// Guards against group commit in which one conflicting claim makes the other claims of its batch fail.
BOOST_AUTO_TEST_CASE(Nested_transactions_succeed_independently, *boost::unit_test::label("client"))
{
    RunningStore store;
    store.put("taken", "old");
    Txn batch;
    for (const std::string key : { "free", "taken" })
        batch.success.push_back({ Txn { .compares = { modifiedAt(key, 0) },
            .success = { { PutRequest { key, "new", 0 } } },
            .failure = { { RangeRequest { .key = key } } } } });
    auto result = store.client->txn(batch, store.deadline());
    BOOST_REQUIRE(result.ok());
    BOOST_TEST(std::get<TxnResult>(result.value.results.at(0).result).succeeded);
    BOOST_TEST(!std::get<TxnResult>(result.value.results.at(1).result).succeeded);
    BOOST_TEST(store.client->range({ .key = "taken" }, store.deadline()).value.kvs.at(0).value == "old");
    batch.success.push_back(batch.success.front());
    BOOST_TEST((store.client->txn(batch, store.deadline()).error == Errc::Refused));
}

// Guards against an error that means "no effect" although the write was carried out.
BOOST_AUTO_TEST_CASE(Errors_distinguish_no_effect_from_unknown_effect, *boost::unit_test::label("client"))
{
    RunningStore store;
    store.server.setFaults({ .loseNext = 2 });
    BOOST_TEST((store.client->put({ "a", "1", 0 }, now() + Millis(150)).error == Errc::Timeout));
    BOOST_TEST((store.client->put({ "b", "1", 0 }, store.deadline()).error == Errc::Timeout));
    BOOST_TEST(store.client->range({ .key = "a", .rangeEnd = "c" }, store.deadline()).value.count == 2);
    store.server.setFaults({ .down = true });
    auto refused = store.client->put({ "c", "1", 0 }, now() + Millis(500));
    BOOST_TEST((refused.error == Errc::Unreachable));
    BOOST_TEST(hadNoEffect(refused.error));
    store.server.setFaults({});
    BOOST_TEST(store.client->range({ .key = "c" }, store.deadline()).value.count == 0);
    BOOST_TEST(hadNoEffect(store.client->put({ "d", std::string(2 << 20, 'x'), 0 }, store.deadline()).error));
}

BOOST_AUTO_TEST_CASE(A_client_switches_to_an_endpoint_that_answers, *boost::unit_test::label("client"))
{
    RunningStore down;
    RunningStore up;
    down.server.setFaults({ .down = true });
    auto endpoints = down.endpoints();
    endpoints.push_back(up.endpoints().front());
    Client client(endpoints);
    BOOST_TEST(client.put({ "k", "v", 0 }, now() + timeout).ok());
    BOOST_TEST(up.client->range({ .key = "k" }, up.deadline()).value.count == 1);
}

BOOST_AUTO_TEST_CASE(A_prefix_is_read_in_pages_of_one_revision, *boost::unit_test::label("client"))
{
    RunningStore store;
    for (int i = 0; i < 7; ++i)
        store.put("p/" + std::to_string(i), std::string(1, static_cast<char>('a' + i)));
    store.put("q", "outside");
    auto all = store.client->readPrefix("p/", store.deadline(), 3);
    BOOST_REQUIRE(all.ok());
    BOOST_TEST(all.value.kvs.size() == 7U);
    BOOST_TEST(all.value.kvs.back().value == "g");
    auto changed = store.client->range(
        { .key = "p/", .rangeEnd = "p0", .minModRevision = all.value.kvs[5].modRevision }, store.deadline());
    BOOST_TEST(changed.value.kvs.size() == 2U);
    BOOST_TEST(changed.value.count == 7);
}

// Guards against a lease holder that continues after its lease has expired in the store.
BOOST_AUTO_TEST_CASE(A_key_is_deleted_when_its_lease_expires, *boost::unit_test::label("lease"))
{
    RunningStore store;
    auto lease = store.client->grantLease(1, store.deadline());
    BOOST_REQUIRE(lease.ok());
    BOOST_TEST(store.client->put({ "k", "v", lease.value.id }, store.deadline()).ok());
    BOOST_TEST(store.client->keepLeaseAlive(lease.value.id, store.deadline()).value.ttlSeconds == 1);
    BOOST_TEST(store.client->range({ .key = "k" }, store.deadline()).value.kvs.at(0).lease == lease.value.id);
    auto end = store.deadline();
    while (store.client->range({ .key = "k" }, store.deadline()).value.count > 0 && now() < end)
        std::this_thread::sleep_for(Millis(50));
    BOOST_TEST(store.client->range({ .key = "k" }, store.deadline()).value.count == 0);
    BOOST_TEST(store.client->keepLeaseAlive(lease.value.id, store.deadline()).value.ttlSeconds == 0);
    BOOST_TEST(hadNoEffect(store.client->put({ "k", "v", lease.value.id }, store.deadline()).error));
}

// Guards against changes lost while the watch was disconnected or the store was unavailable.
BOOST_AUTO_TEST_CASE(
    A_watcher_reports_all_changes_despite_disconnects_and_compaction, *boost::unit_test::label("watch"))
{
    RunningStore store;
    store.put("w/kept", "1");
    store.put("w/gone", "1");
    Client watching(store.endpoints());
    KeyMirror mirror;
    Watcher watcher(watching, "w/", mirror.handlers(),
        { .idleTimeout = Millis(2000), .minBackoff = Millis(20), .maxBackoff = Millis(100) });
    watcher.start();
    BOOST_REQUIRE(mirror.waitFor(3));
    store.put("other", "1"); // Not under the prefix, so only a progress message confirms this revision.
    BOOST_TEST(mirror.waitFor(4));

    store.server.setFaults({ .down = true });
    store.server.setFaults({});
    store.client->deleteRange({ "w/gone", "" }, store.deadline());
    store.put("w/new", "1");
    BOOST_TEST(mirror.waitFor(6));
    BOOST_TEST(mirror.snapshots == 1);

    store.server.setFaults({ .down = true });
    store.server.store().put({ { "key", "dy9uZXc=" }, { "value", "Mg==" } }); // Sets w/new to 2.
    store.server.store().compact(store.server.store().revision());
    store.server.setFaults({});
    BOOST_TEST(mirror.waitFor(7));
    watcher.stop();
    BOOST_TEST(mirror.snapshots == 2);
    BOOST_TEST((mirror.state == std::map<std::string, std::string> { { "w/kept", "1" }, { "w/new", "2" } }));
}
