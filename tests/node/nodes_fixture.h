#pragma once

#include "agatevane/event_http/client.h"
#include "fakes.h"
#include "tests/support/free_port.h"
#include <boost/test/unit_test.hpp>

namespace agatevane::test {

//! Three nodes on the loopback interface that share one store and two workers.
struct NodesFixture {
    struct Member {
        std::unique_ptr<FakeStore> store;
        std::unique_ptr<node::Node> node;
        node::Settings settings;
    };

    NodesFixture()
        : workers(context, workerModel)
        , translation(plainTranslation())
        , client(context)
    {
        for (int n = 1; n <= 2; ++n) {
            workerModel.addWorker(sampleWorker(n), modelTimeMs());
            auto listing = workerModel.listings(modelTimeMs()).back();
            kvModel.commit({ {}, { { "workers/" + listing.id, net::encode(listing), 0 } }, {} }, modelTimeMs());
        }
        putDesiredState("1");
        for (int n = 0; n < 3; ++n)
            addNode("n" + std::to_string(n));
        BOOST_REQUIRE(waitUntil(Millis(5000), [this] { return owner() != nullptr; }));
    }

    void putDesiredState(const std::string& version)
    {
        kvModel.commit({ {}, { { "desired", version, 0 } }, {} }, modelTimeMs());
    }

    void addNode(const std::string& name) { addNode(name, translation); }

    void addNode(const std::string& name, const node::Translation& nodeTranslation)
    {
        Member member;
        auto& settings = member.settings;
        settings.name = name;
        settings.clientLimits = clientLimits;
        settings.callerAddress = { "127.0.0.1", freePort() };
        settings.readinessAddress = { "127.0.0.1", freePort() };
        settings.peerListenAddress = settings.peerAddress = { "127.0.0.1", freePort() };
        settings.metricsAddress = { "127.0.0.1", freePort() };
        for (const auto& [otherName, other] : members)
            settings.seedNodes.push_back(other.settings.peerAddress);
        member.store = std::make_unique<FakeStore>(context, kvModel);
        member.node = std::make_unique<node::Node>(context, settings, *member.store, workers, nullptr, nodeTranslation);
        Findings findings;
        BOOST_REQUIRE_MESSAGE(member.node->start(findings), format(findings));
        members.emplace(name, std::move(member));
    }

    Member* owner()
    {
        for (auto& [name, member] : members) {
            if (member.node && member.node->isOwner())
                return &member;
        }
        return nullptr;
    }

    //! The store ends the owner's lease before its time.
    void endOwnerLease()
    {
        auto at = modelTimeMs();
        BOOST_REQUIRE(kvModel.endLease(kvModel.get(node::ownerKey, at).items.front().lease, at));
    }

    //! An owner other than `excluded`, which may not know that it was replaced.
    Member* ownerBeside(const Member& excluded)
    {
        for (auto& [name, member] : members) {
            if (&member != &excluded && member.node && member.node->isOwner())
                return &member;
        }
        return nullptr;
    }

    Member* follower()
    {
        for (auto& [name, member] : members) {
            if (member.node && !member.node->isOwner())
                return &member;
        }
        return nullptr;
    }

    bool waitUntil(Millis limit, const std::function<bool()>& condition) { return runUntil(context, limit, condition); }

    int readinessOf(const Member& member)
    {
        int status = -1;
        client.send(member.settings.readinessAddress, { "GET", "/", {}, {} }, now() + Millis(1000),
            [&](std::error_code error, const event_http::Response& response) { status = error ? 0 : response.status; });
        waitUntil(Millis(1500), [&] { return status >= 0; });
        return status;
    }

    int sendRequest(const Member& member, const std::string& method, const std::string& id, std::string* body = nullptr,
        const std::string& content = {}, Millis timeout = Millis(3000))
    {
        int status = -1;
        client.send(member.settings.callerAddress,
            { method, "/q/" + id,
                { { "x-queue-host", "jobs.example" }, { "x-patience", std::to_string(timeout.count()) } }, content },
            now() + Millis(4000), [&](std::error_code error, const event_http::Response& response) {
                status = error ? 0 : response.status;
                if (body)
                    *body = response.body;
            });
        waitUntil(Millis(4500), [&] { return status >= 0; });
        return status;
    }

    //! Status of a submission to `asked` that the store holds up while `event` happens; 0: there was no answer.
    int statusOfHeldCall(const Member& asked, std::function<void()> event)
    {
        owner()->store->setFault(StoreFault::Unresponsive);
        node::Timer timer(context);
        timer.arm(Millis(300), std::move(event));
        return sendRequest(asked, "POST", "00000000000000d9", nullptr, {}, Millis(1200));
    }

    asio::io_context context;
    standin::KvModel kvModel;
    standin::WorkerModel workerModel;
    FakeWorkers workers;
    node::Translation translation;
    event_http::Client client;
    event_http::ClientLimits clientLimits; //!< of nodes that are added from now on
    std::map<std::string, Member> members;
};

} // namespace agatevane::test
