#pragma once

#include "agatevane/base/error.h"
#include "modelled_link.h"
#include "node/fleet_owner.h"
#include "node/node.h"
#include "node/timer.h"
#include "standins/platform/kv_model.h"
#include "standins/platform/worker_model.h"
#include <algorithm>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

//! A store that can be given faults, and workers, both in the test's own process.
namespace agatevane::test {

//! Limit of a caller's request body in desired states.
constexpr std::size_t maxBodyBytes = 1000;

enum class StoreFault {
    None,
    Unresponsive, //!< neither executes calls nor answers them
    Refusing, //!< answers calls with an error that says that they had no effect; watches time out
    LosesAnswers, //!< executes calls but does not answer them
    LosesListings, //!< does not answer listings
    RefusesEverySecondCall, //!< the others get no answer and aren't executed; watches time out
    RefusingForGood //!< answers each transaction as one that it will never take
};

//! The time that the models of the store and of the workers are called with.
inline std::int64_t modelTimeMs()
{
    return elapsed(Instant {}, now()).count();
}

//! One node's access to a store that it shares with other nodes. A fault affects only this node.
class FakeStore : public kv::Store {
public:
    FakeStore(asio::io_context& context, standin::KvModel& model)
        : context_(context)
        , model_(model)
    {
    }

    void setFault(StoreFault fault) { fault_ = fault; }
    //! Answers to reads and watches cross `link`, which must exist for as long as the store.
    void setLink(ModelledLink& link) { link_ = &link; }
    //! Reads and watches are answered this much later.
    void setDelay(Millis delay) { delay_ = delay; }
    //! Watches of this prefix are not answered; empty: all are.
    void silenceWatches(std::string prefix) { silentPrefix_ = std::move(prefix); }
    //! Transactions that write or remove a key with this prefix are refused for good; empty: none are.
    void refuseKeys(std::string prefix) { refusedPrefix_ = std::move(prefix); }
    //! True if the prefix was listed or watched.
    bool hasBeenAskedFor(const std::string& prefix) const { return asked_.contains(prefix); }
    int commits() const { return commits_; }

    void get(const std::string& key, const TransferLimits& limits, std::function<void(kv::ReadResult)> done) override
    {
        answer<kv::ReadResult>(
            limits.beginBy, overLink(limits, std::move(done)), [this, key] { return model_.get(key, modelTimeMs()); });
    }
    void list(
        const std::string& prefix, const TransferLimits& limits, std::function<void(kv::ReadResult)> done) override
    {
        constexpr bool isListing = true;
        asked_.insert(prefix);
        answer<kv::ReadResult>(
            limits.beginBy, overLink(limits, std::move(done)),
            [this, prefix] { return model_.list(prefix, modelTimeMs()); }, isListing);
    }
    void watch(const std::string& prefix, kv::Revision after, Millis wait, const TransferLimits& limits,
        std::function<void(kv::WatchResult)> done) override
    {
        asked_.insert(prefix);
        pollWatch(prefix, after, now() + wait, overLink(limits, std::move(done)));
    }
    void commit(const kv::Txn& txn, Instant deadline, std::function<void(kv::TxnResult)> done) override
    {
        answer<kv::TxnResult>(deadline, std::move(done), [this, txn] {
            ++commits_;
            return isRefusedForGood(txn) ? lastingRefusal() : model_.commit(txn, modelTimeMs());
        });
    }
    void grantLease(Millis ttl, Instant deadline, std::function<void(kv::LeaseResult)> done) override
    {
        answer<kv::LeaseResult>(deadline, std::move(done), [this, ttl] {
            kv::LeaseResult result;
            result.lease = model_.grant(ttl.count(), modelTimeMs());
            return result;
        });
    }
    void renewLease(kv::LeaseId lease, Instant deadline, std::function<void(kv::LeaseResult)> done) override
    {
        answer<kv::LeaseResult>(
            deadline, std::move(done), [this, lease] { return leaseResult(model_.renew(lease, modelTimeMs())); });
    }
    void endLease(kv::LeaseId lease, Instant deadline, std::function<void(kv::LeaseResult)> done) override
    {
        answer<kv::LeaseResult>(
            deadline, std::move(done), [this, lease] { return leaseResult(model_.endLease(lease, modelTimeMs())); });
    }

private:
    bool isRefusedForGood(const kv::Txn& txn) const
    {
        auto isRefused
            = [this](const std::string& key) { return !refusedPrefix_.empty() && key.starts_with(refusedPrefix_); };
        return fault_ == StoreFault::RefusingForGood || std::any_of(txn.deletes.begin(), txn.deletes.end(), isRefused)
            || std::any_of(txn.puts.begin(), txn.puts.end(), [&](const kv::Put& put) { return isRefused(put.key); });
    }

    static kv::TxnResult lastingRefusal()
    {
        kv::TxnResult result;
        result.error = Errc::Refused;
        result.isRefusalLasting = true;
        return result;
    }

    static kv::LeaseResult leaseResult(bool isAlive)
    {
        kv::LeaseResult result;
        result.hasEnded = !isAlive;
        if (!isAlive)
            result.error = Errc::Refused;
        return result;
    }

    //! Bytes of an item in an answer: the value in base64, and the item's other members.
    static std::size_t encodedBytes(const kv::Item& item) { return (item.value.size() + 2) / 3 * 4 + 100; }

    static std::size_t bytesOf(const kv::ReadResult& result)
    {
        std::size_t bytes = 0;
        for (const auto& item : result.items)
            bytes += encodedBytes(item);
        return bytes;
    }

    static std::size_t bytesOf(const kv::WatchResult& result)
    {
        std::size_t bytes = 0;
        for (const auto& change : result.changes)
            bytes += encodedBytes(change.item);
        return bytes;
    }

    //! Passes on a result once the link has carried it.
    template <typename Result>
    std::function<void(Result)> overLink(const TransferLimits& limits, std::function<void(Result)> done)
    {
        if (!link_ && delay_ == Millis(0))
            return done;
        return [this, limits, done](const Result& result) {
            if (result.error)
                return done(result);
            auto timer = std::make_shared<node::Timer>(context_);
            timer->arm(delay_, [this, timer, limits, done, result] {
                if (!link_)
                    return done(result);
                link_->carry(bytesOf(result), limits, [done, result](std::error_code error) {
                    auto carried = result;
                    if (error) {
                        carried = {};
                        carried.error = error;
                    }
                    done(carried);
                });
            });
        };
    }

    template <typename Result>
    void answer(
        Instant deadline, std::function<void(Result)> done, std::function<Result()> execute, bool isListing = false)
    {
        auto timer = std::make_shared<node::Timer>(context_);
        Result result;
        auto delay = Millis(2);
        bool isSecondCall = ++calls_ % 2 == 0;
        if (fault_ == StoreFault::Refusing || (fault_ == StoreFault::RefusesEverySecondCall && isSecondCall)) {
            result.error = Errc::Refused;
        } else if (fault_ == StoreFault::Unresponsive || fault_ == StoreFault::RefusesEverySecondCall
            || (isListing && fault_ == StoreFault::LosesListings)) {
            result.error = Errc::Timeout;
            delay = elapsed(now(), deadline);
        } else {
            result = execute();
            if (fault_ == StoreFault::LosesAnswers) {
                result = {};
                result.error = Errc::Timeout;
                delay = elapsed(now(), deadline);
            }
        }
        timer->arm(delay, [timer, result, done = std::move(done)] { done(result); });
    }

    void pollWatch(
        const std::string& prefix, kv::Revision after, Instant end, std::function<void(kv::WatchResult)> done)
    {
        auto timer = std::make_shared<node::Timer>(context_);
        timer->arm(Millis(5), [this, timer, prefix, after, end, done = std::move(done)] {
            kv::WatchResult result;
            if (!silentPrefix_.empty() && prefix == silentPrefix_) {
                if (now() < end)
                    return pollWatch(prefix, after, end, done);
                result.error = Errc::Timeout;
                return done(result);
            }
            if (fault_ == StoreFault::Unresponsive || fault_ == StoreFault::Refusing
                || fault_ == StoreFault::RefusesEverySecondCall) {
                result.error = Errc::Timeout;
                return done(result);
            }
            result = model_.changes(prefix, after, modelTimeMs());
            if (!result.error && result.changes.empty() && now() < end)
                return pollWatch(prefix, after, end, done);
            done(result);
        });
    }

    asio::io_context& context_;
    standin::KvModel& model_;
    StoreFault fault_ = StoreFault::None;
    ModelledLink* link_ = nullptr; //!< null: answers take no time on the way
    Millis delay_ { 0 };
    std::string silentPrefix_;
    std::string refusedPrefix_;
    std::set<std::string> asked_; //!< prefixes of listings and watches
    int commits_ = 0;
    int calls_ = 0; //!< without watches
};

//! Passes orders and polls to a model of the workers after a few milliseconds.
class FakeWorkers : public node::WorkerPort {
public:
    FakeWorkers(asio::io_context& context, standin::WorkerModel& model)
        : context_(context)
        , model_(model)
    {
    }

    void start(const fleet::StartOrder& order, Instant, std::function<void(node::OrderAnswer)> done) override
    {
        runLater([this, order, done = std::move(done)] {
            auto outcome = model_.start(order, modelTimeMs());
            done({ outcome.outcome, outcome.isFenced });
        });
    }
    void stop(const fleet::StopOrder& order, Instant, std::function<void(node::OrderAnswer)> done) override
    {
        runLater([this, order, done = std::move(done)] {
            auto outcome = model_.stop(order, modelTimeMs());
            done({ outcome.outcome, outcome.isFenced });
        });
    }
    void setPace(const fleet::PaceOrder& order, Instant, std::function<void(node::OrderAnswer)> done) override
    {
        runLater([this, order, done = std::move(done)] {
            auto outcome = model_.pace(order, modelTimeMs());
            done({ outcome.outcome, outcome.isFenced });
        });
    }
    void requestAdvice(const fleet::AdviceRequest&, Instant, std::function<void(fleet::AdviceAnswer)> done) override
    {
        runLater([done = std::move(done)] { done({}); });
    }
    void poll(const fleet::PollOrder& order, Instant, std::function<void(node::PollResult)> done) override
    {
        if (silentWorkers_.contains(order.worker))
            return runLater([done = std::move(done)] { done({ Errc::Timeout, false, {} }); }, order.wait + silentTime);
        constexpr Millis maxPollWait { 50 };
        runLater(
            [this, order, done = std::move(done)] {
                auto outcome = model_.poll(order, modelTimeMs());
                done({ {}, outcome.isFenced, outcome.answer });
            },
            std::min(order.wait, maxPollWait));
    }

    //! The worker answers no polls.
    void silence(const fleet::WorkerId& worker) { silentWorkers_.insert(worker); }

private:
    //! After this time, a poll of a silent worker fails.
    static constexpr Millis silentTime { 300 };

    void runLater(std::function<void()> action, Millis delay = Millis(0))
    {
        auto timer = std::make_shared<node::Timer>(context_);
        timer->arm(delay + Millis(2), [timer, action = std::move(action)] { action(); });
    }

    asio::io_context& context_;
    standin::WorkerModel& model_;
    std::set<fleet::WorkerId> silentWorkers_;
};

//! A translation with simple formats: the item of the desired state is its version in decimal, the item of a worker is
//! encoded by cereal, the path of a call is the job id, and the body of a submission is its duration in milliseconds.
node::Translation plainTranslation();

//! Other nodes that have nothing to give.
node::StatePeers noPeers();

fleet::WorkerListing sampleWorker(int number);
desired_state::Queue sampleQueue();
fleet::JobSpec sampleJob(const fleet::JobId& id, std::int64_t durationMs);

//! Runs the event loop until `condition` holds, but at most for `limit`. Returns true if it holds.
bool runUntil(asio::io_context& context, Millis limit, const std::function<bool()>& condition);

} // namespace agatevane::test
