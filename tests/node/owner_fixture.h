#pragma once

#include "agatevane/fleet/group_commit.h"
#include "fakes.h"
#include <boost/test/unit_test.hpp>

namespace agatevane::test {

//! One owner of the fleet with a store and two workers.
struct OwnerFixture {
    OwnerFixture()
        : store(context, kvModel)
        , workers(context, workerModel)
        , translation(plainTranslation())
    {
        for (int n = 1; n <= 2; ++n) {
            workerModel.addWorker(sampleWorker(n), modelTimeMs());
            list(workerModel.listings(modelTimeMs()).back());
        }
        electOwner(1);
    }

    //! Creates an owner and its commit record, as the owner election does, and waits until it is ready.
    void electOwner(std::uint32_t tenure)
    {
        auto current = kvModel.get(node::commitKey, modelTimeMs());
        kv::Revision before = current.items.empty() ? 0 : current.items.front().revision;
        auto result
            = kvModel.commit({ { { node::commitKey, before } },
                                 { { node::commitKey, net::encode(node::CommitRecord { tenure, "seat" }), 0 } }, {} },
                modelTimeMs());
        desired_state::DesiredState desired;
        desired.queues.push_back(sampleQueue());
        owner = std::make_unique<node::FleetOwner>(
            node::FleetOwner::Environment { context, store, workers, translation,
                [this](std::string_view reason) { ownershipLostReason = reason; },
                [this] { return isOwnershipConfirmed ? Instant::max() : Instant {}; },
                [this] { return ownershipEndsBy; } },
            limits, tenure, result.revision, desired);
        owner->start();
        BOOST_REQUIRE(runUntil(context, Millis(2000), [this] { return owner->isReady(); }));
    }

    void submit(const std::string& id, std::int64_t durationMs, std::optional<node::CallerAnswer>& answer,
        Millis timeout = Millis(3000))
    {
        node::CallerRequest request { node::CallKind::Submit, id, sampleJob(id, durationMs) };
        owner->call(request, sampleQueue(), {}, now() + timeout,
            [&answer](node::CallerAnswer received) { answer = std::move(received); });
    }

    bool waitUntil(Millis limit, const std::function<bool()>& condition) { return runUntil(context, limit, condition); }

    std::optional<fleet::VisibleState> stateOf(const std::string& id)
    {
        return fleet::visibleState(owner->fleet(), id);
    }

    std::optional<node::CallerAnswer> call(node::CallKind kind, const std::string& id)
    {
        std::optional<node::CallerAnswer> answer;
        owner->call({ kind, id, sampleJob(id, 100) }, sampleQueue(), {}, now() + Millis(1000),
            [&answer](node::CallerAnswer received) { answer = std::move(received); });
        return answer;
    }

    //! Calls through `queue` with a key of `tenant` and waits for the answer.
    node::CallerAnswer callThrough(const desired_state::Queue& queue, const std::string& tenant, node::CallKind kind,
        const std::string& id, std::int64_t durationMs = 100)
    {
        std::optional<node::CallerAnswer> answer;
        owner->call({ kind, id, sampleJob(id, durationMs) }, queue, tenant, now() + Millis(1000),
            [&answer](node::CallerAnswer received) { answer = std::move(received); });
        BOOST_REQUIRE(waitUntil(Millis(1500), [&answer] { return answer.has_value(); }));
        return *answer;
    }

    //! Submits a job that runs for as long as a test takes.
    void submitAs(const std::string& tenant, const std::string& id)
    {
        constexpr std::int64_t longMs = 20000;
        auto answer = callThrough(sampleQueue(), tenant, node::CallKind::Submit, id, longMs);
        BOOST_REQUIRE(answer.status == node::CallStatus::Ok);
    }

    void list(const fleet::WorkerListing& listing)
    {
        kvModel.commit({ {}, { { "workers/" + listing.id, net::encode(listing), 0 } }, {} }, modelTimeMs());
    }

    //! Writes an item as another program would.
    void put(const std::string& key, const std::string& value)
    {
        kvModel.commit({ {}, { { key, value, 0 } }, {} }, modelTimeMs());
    }

    //! Nothing if there is no such item.
    std::optional<std::string> stored(const std::string& key)
    {
        auto found = kvModel.get(key, modelTimeMs());
        return found.items.empty() ? std::nullopt : std::optional(found.items.front().value);
    }

    asio::io_context context;
    standin::KvModel kvModel;
    standin::WorkerModel workerModel;
    FakeStore store;
    FakeWorkers workers;
    node::Translation translation;
    fleet::Limits limits;
    std::unique_ptr<node::FleetOwner> owner;
    std::string ownershipLostReason;
    bool isOwnershipConfirmed = true;
    Instant ownershipEndsBy = Instant::max();
};

} // namespace agatevane::test
