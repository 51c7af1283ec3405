#include "node/tenure_check.h"

#include "node/records.h"
#include <algorithm>

namespace agatevane::node {

namespace {

    constexpr Millis readTimeout { 500 };

} // namespace

TenureCheck::TenureCheck(asio::io_context& context, kv::Store& store, std::uint32_t tenure)
    : context_(context)
    , store_(store)
    , tenure_(tenure)
{
}

void TenureCheck::ask(Instant deadline, Done done)
{
    auto question = std::make_shared<Question>(Question { std::move(done) });
    waiting_.push_back(question);
    auto timer = std::make_shared<Timer>(context_);
    auto delay = std::clamp(elapsed(now(), deadline), Millis(0), readTimeout);
    timer->arm(delay, [question, timer] { answer(*question, TenureState::Unknown); });
    readIfNeeded();
}

void TenureCheck::stop()
{
    for (auto* questions : { &waiting_, &asked_ }) {
        for (const auto& question : std::exchange(*questions, {}))
            answer(*question, TenureState::Unknown);
    }
}

void TenureCheck::readIfNeeded()
{
    std::erase_if(waiting_, [](const auto& question) { return !question->done; });
    if (isReadInFlight_ || waiting_.empty())
        return;
    isReadInFlight_ = true;
    asked_ = std::exchange(waiting_, {});
    store_.get(commitKey, { now() + readTimeout, {} }, liveness_.guard([this](const kv::ReadResult& result) {
        isReadInFlight_ = false;
        auto asked = std::exchange(asked_, {});
        readIfNeeded();
        // Nothing is read from this object after the first answer, which may end the ownership and destroy it.
        auto state = stateFrom(result);
        for (const auto& question : asked)
            answer(*question, state);
    }));
}

TenureState TenureCheck::stateFrom(const kv::ReadResult& result) const
{
    if (result.error || result.items.empty())
        return TenureState::Unknown;
    auto record = decodeRecord<CommitRecord>(result.items.front().value);
    if (!record)
        return TenureState::Unknown;
    return record->tenure == tenure_ ? TenureState::Current : TenureState::Replaced;
}

void TenureCheck::answer(Question& question, TenureState state)
{
    if (auto done = std::exchange(question.done, nullptr))
        done(state);
}

} // namespace agatevane::node
