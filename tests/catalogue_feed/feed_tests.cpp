#include "agatevane/base/error.h"
#include "agatevane/catalogue/codec.h"
#include "agatevane/catalogue_feed/catalogue_feed.h"
#include "agatevane/peer_api/messages.h"
#include "standins/store/store_server.h"
#include <asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr Millis patience { 5000 };

template <typename Condition> bool eventually(Condition holds, Millis limit = patience)
{
    auto end = now() + limit;
    while (!holds()) {
        if (now() >= end)
            return false;
        std::this_thread::sleep_for(Millis(10));
    }
    return true;
}

FeedOptions fastOptions()
{
    FeedOptions options;
    options.storeInterval = Millis(600);
    options.storeTimeout = Millis(600);
    options.peerInterval = Millis(30);
    options.askPeersAfter = Millis(800);
    options.peerTimeout = Millis(100);
    options.watcher = { .minBackoff = Millis(20), .maxBackoff = Millis(100) };
    return options;
}

//! VMs that share one store and reach each other by function calls.
struct Network {
    struct Vm {
        std::unique_ptr<store::Client> client;
        std::unique_ptr<CatalogueFeed> feed;
        std::atomic<bool> isCut { false }; //!< other VMs cannot reach it
    };

    standin::StoreServer server;
    std::vector<std::unique_ptr<Vm>> vms;

    Network()
        : server(standin::StoreSettings { .threads = 40, .progressMs = 200, .lostAnswerMs = 300 })
    {
        BOOST_REQUIRE(!server.start());
    }
    ~Network()
    {
        for (auto& vm : vms)
            vm->feed->stop();
    }

    CatalogueFeed& add(bool reachesStore, FeedOptions options = fastOptions())
    {
        auto& vm = *vms.emplace_back(std::make_unique<Vm>());
        auto port = reachesStore ? server.port() : 1; // nothing listens on port 1
        vm.client = std::make_unique<store::Client>(std::vector<http::Endpoint> { { "127.0.0.1", port, false, {} } });
        auto pull = [this](const CataloguePeer& peer, const CataloguePullRequest& request, Instant,
                        CataloguePullReply& reply) -> std::error_code {
            auto& target = *vms.at(std::stoul(peer.member.value));
            if (target.isCut)
                return Errc::Unreachable;
            return net::decode(target.feed->answerPull(net::encode(request)), reply) ? std::error_code()
                                                                                     : Errc::Malformed;
        };
        vm.feed = std::make_unique<CatalogueFeed>(*vm.client, pull, nullptr, options);
        return *vm.feed;
    }

    //! What the membership would report; repeated by the test when revisions change.
    void introduce()
    {
        for (std::size_t i = 0; i < vms.size(); ++i) {
            std::vector<CataloguePeer> peers;
            for (std::size_t k = 0; k < vms.size(); ++k) {
                if (k != i)
                    peers.push_back({ { std::to_string(k) }, {}, vms[k]->feed->status().revision });
            }
            vms[i]->feed->setPeers(peers);
        }
    }

    void start()
    {
        introduce();
        for (auto& vm : vms)
            vm->feed->start();
    }

    std::int64_t put(const std::string& name, double weight = 1)
    {
        store::Client client(std::vector<http::Endpoint> { { "127.0.0.1", server.port(), false, {} } });
        WorkspaceEntry entry { .id = { name }, .weight = weight };
        auto result
            = client.put({ storeKeyOf({ EntryKind::Workspace, name }), encodeEntry(entry), 0 }, now() + patience);
        BOOST_REQUIRE(result.ok());
        return result.revision;
    }

    void remove(const std::string& name)
    {
        store::Client client(std::vector<http::Endpoint> { { "127.0.0.1", server.port(), false, {} } });
        BOOST_REQUIRE(client.deleteRange({ storeKeyOf({ EntryKind::Workspace, name }), "" }, now() + patience).ok());
    }
};

bool has(const CatalogueFeed& feed, const std::string& name)
{
    return feed.current()->workspaces.contains({ name });
}

} // namespace

BOOST_AUTO_TEST_CASE(Changes_and_deletions_arrive_by_the_watch, *boost::unit_test::label("feed"))
{
    Network network;
    network.put("first");
    // The readers of the store are too slow here to deliver anything but the first state.
    auto options = fastOptions();
    options.storeInterval = Millis(60000);
    auto& feed = network.add(true, options);
    network.start();
    BOOST_TEST(eventually([&] { return has(feed, "first"); }));
    network.put("second");
    BOOST_TEST(eventually([&] { return has(feed, "second"); }, Millis(2000)));
    network.remove("first");
    BOOST_TEST(eventually([&] { return !has(feed, "first"); }, Millis(2000)));
    BOOST_TEST(feed.status().isFresh);
}

// Guards against a deletion that no reader notices while the watch is broken.
BOOST_AUTO_TEST_CASE(A_refresh_proves_the_view_without_the_watch, *boost::unit_test::label("feed"))
{
    Network network;
    auto& feed = network.add(true); // not started
    network.put("a");
    network.put("b");
    BOOST_TEST(!feed.isFresh());
    BOOST_TEST(!feed.refresh(now() + patience));
    BOOST_TEST(feed.isFresh());
    BOOST_TEST(feed.status().isFresh);
    network.remove("a");
    network.put("c");
    BOOST_TEST(!feed.refresh(now() + patience));
    BOOST_TEST(!has(feed, "a"));
    BOOST_TEST(has(feed, "c"));
    network.server.setFaults({ .down = true });
    BOOST_TEST((feed.refresh(now() + Millis(300)) == Errc::Unreachable));
}

// Guards against a VM cut off from the store that keeps an old catalogue or stops although its peers are fresh.
BOOST_AUTO_TEST_CASE(A_VM_without_the_store_follows_its_peers, *boost::unit_test::label("feed"))
{
    Network network;
    for (int i = 0; i < 20; ++i)
        network.put("w" + std::to_string(i));
    auto options = fastOptions();
    options.pageBytes = 500; // several pages for one pull
    auto& reader = network.add(true, options);
    auto& cut = network.add(false, options);
    network.start();
    BOOST_TEST(eventually([&] { return reader.current()->workspaces.size() == 20; }));
    network.introduce();
    BOOST_TEST(eventually([&] { return cut.current()->workspaces.size() == 20; }));
    network.put("new");
    network.remove("w3");
    BOOST_TEST(eventually([&] {
        network.introduce();
        return has(cut, "new") && !has(cut, "w3");
    }));
    BOOST_TEST(eventually([&] { return cut.status().isFresh; }));
    BOOST_TEST(!cut.status().reachesStore);
    BOOST_TEST(reader.status().reachesStore);
}

// Guards against a pull that empties the catalogue: a peer that had read everything later than the asker answered with
// what had changed since, and the asker took all else for deleted, for good (401 to every caller of one entry in 25 of
// 77 runs of A_lost_store_answer_accepts_a_job_once, 20 at a time).
BOOST_AUTO_TEST_CASE(A_pull_from_a_peer_that_read_later_keeps_old_entries, *boost::unit_test::label("feed"))
{
    Network network;
    for (int i = 0; i < 20; ++i)
        network.put("w" + std::to_string(i));
    auto options = fastOptions();
    options.pageBytes = 500; // several pages for one pull
    auto& first = network.add(true, options); // the readers are not started: they read only when told to
    auto& later = network.add(true, options);
    auto& asker = network.add(false, options);
    BOOST_REQUIRE(!first.refresh(now() + patience));
    network.introduce();
    asker.start();
    BOOST_REQUIRE(eventually([&] { return asker.current()->workspaces.size() == 20; }));
    // Other data of the store moves its revision on.
    store::Client client(std::vector<http::Endpoint> { { "127.0.0.1", network.server.port(), false, {} } });
    BOOST_REQUIRE(client.put({ "/agatevane/other", "value", 0 }, now() + patience).ok());
    BOOST_REQUIRE(!later.refresh(now() + patience));
    network.introduce();
    BOOST_REQUIRE(eventually([&] { return asker.status().revision == later.status().revision; }));
    BOOST_CHECK_EQUAL(asker.current()->workspaces.size(), 20);
}

// Guards against a store outage that stops all VMs, and against a VM that trusts its peers while one cannot be heard.
BOOST_AUTO_TEST_CASE(Without_the_store_all_VMs_together_stay_fresh, *boost::unit_test::label("feed"))
{
    Network network;
    network.put("a");
    for (int i = 0; i < 3; ++i)
        network.add(true);
    network.start();
    auto& feed = *network.vms[0]->feed;
    BOOST_TEST(eventually([&] { return has(feed, "a") && has(*network.vms[2]->feed, "a"); }));
    network.server.setFaults({ .down = true });
    // The last contact with the store has to be 5 s old before a VM says that it does not reach it.
    std::this_thread::sleep_for(Millis(6500));
    for (auto& vm : network.vms)
        BOOST_TEST((vm->feed->status().proofAge.value_or(Millis(99999)) < Millis(3000)));
    network.vms[2]->isCut = true;
    std::this_thread::sleep_for(Millis(2000));
    auto age = feed.status().proofAge;
    std::this_thread::sleep_for(Millis(1000));
    BOOST_TEST((*feed.status().proofAge >= *age + Millis(900)));
}

BOOST_AUTO_TEST_CASE(A_pull_goes_over_RPC, *boost::unit_test::label("pull"))
{
    Network network;
    auto& feed = network.add(true);
    network.put("a");
    BOOST_TEST(!feed.refresh(now() + patience));
    asio::io_context context;
    auto guard = asio::make_work_guard(context);
    std::thread thread([&] { context.run(); });
    {
        net::RpcServer server(context, [&](std::uint16_t kind, std::string_view payload, net::Reply reply) {
            BOOST_TEST(kind == static_cast<std::uint16_t>(MessageKind::CataloguePull));
            reply(feed.answerPull(payload));
        });
        BOOST_REQUIRE(!server.listen({ "127.0.0.1", 0 }));
        RpcPuller pull(context);
        CataloguePullReply reply;
        auto error = pull({ { "m" }, { "127.0.0.1", server.port() }, 0 }, { 0 }, now() + patience, reply);
        BOOST_TEST(!error);
        BOOST_TEST(reply.entries.size() == 1U);
        BOOST_TEST(reply.proofAgeMs >= 0);
        BOOST_TEST(net::decode(feed.answerPull("garbage"), reply));
        BOOST_TEST(reply.entries.empty());
        context.stop();
        thread.join();
    }
}
