#include "simulation.h"

//! What the schedulers send: calls to workers and to the store, and heartbeats, which may be lost, late or doubled.
namespace agatevane::simulation {

using namespace shard_owner;

namespace {

    // All times are in simulated milliseconds.
    constexpr double callTimeout = 900;
    constexpr double storeTimeout = 700;

} // namespace

void Simulation::call(
    Process& process, int site, double timeout, std::function<Input()> execute, const Input& onTimeout)
{
    auto isAnswered = std::make_shared<bool>(false);
    auto number = process.number;
    auto incarnation = process.incarnation;
    bool isFaulty = options_.hasFaults && now_ < options_.faultPeriodMs;
    auto targetInstance = site >= storeSite ? 0 : workers_[static_cast<std::size_t>(site - firstWorkerSite)].instance;
    auto deliver = [this, site, number, incarnation, isAnswered, execute = std::move(execute), targetInstance] {
        // A restart of the target breaks its connections, so the call never arrives.
        if (site < storeSite && workers_[static_cast<std::size_t>(site - firstWorkerSite)].instance != targetInstance)
            return;
        auto input = execute();
        bool isLost
            = !isConnected(number, site) || (options_.hasFaults && now_ < options_.faultPeriodMs && chance(0.02));
        if (isLost)
            return;
        schedule(latency(), [this, number, incarnation, isAnswered, input] {
            if (*isAnswered)
                return;
            *isAnswered = true;
            run(number, incarnation, input);
        });
    };
    bool isLost = !isConnected(number, site) || (isFaulty && chance(0.02));
    if (!isLost) {
        schedule(latency(), deliver);
        if (isFaulty && chance(0.01))
            schedule(latency() + latency(), deliver);
    }
    schedule(timeout, [this, number, incarnation, isAnswered, onTimeout] {
        if (*isAnswered)
            return;
        *isAnswered = true;
        run(number, incarnation, onTimeout);
    });
}

template <typename Command>
void Simulation::sendCommand(Process& process, const WorkerId& worker, const AttemptId& attempt,
    CommandAnswered::Kind kind, const Command& command, Epoch epoch, Instant notAfter)
{
    if (localTime(process) >= notAfter)
        throw InvariantViolation("a command was sent after the ownership deadline");
    CommandAnswered answer { .worker = worker, .attempt = attempt, .kind = kind, .epoch = epoch };
    answer.sentAt = localTime(process);
    auto site = firstWorkerSite + std::stoi(worker.value.substr(1));
    auto execute = [this, site, answer, command, epoch]() mutable -> Input {
        auto& target = workers_[static_cast<std::size_t>(site - firstWorkerSite)];
        bool isFenced = epoch < target.epoch;
        auto checked = options_.workersCheckEpochs ? epoch : std::max(epoch, target.epoch);
        answer.status = target.receive(command, checked, now_);
        if (isFenced && answer.status == gang::ReplyStatus::Ok)
            throw InvariantViolation("a fenced owner's command took effect on " + target.id.value);
        return answer;
    };
    call(process, site, callTimeout, execute, answer);
}

void Simulation::sendGangCommand(Process& process, const SendCommand& sent)
{
    const auto& body = sent.command.body;
    const auto& worker = sent.command.worker;
    bool isStart = !std::holds_alternative<gang::AttemptOrder>(body);
    if (isStart && !process.state.owner.holdsRecord)
        throw InvariantViolation("an owner that doesn't hold the owner record started a gang");
    if (const auto* prepare = std::get_if<PrepareCommand>(&body)) {
        sendCommand(
            process, worker, prepare->attempt, CommandAnswered::Kind::Prepare, *prepare, prepare->epoch, sent.notAfter);
    } else if (const auto* start = std::get_if<StartCommand>(&body)) {
        sendCommand(process, worker, start->attempt, CommandAnswered::Kind::Start, *start, start->epoch, sent.notAfter);
    } else {
        const auto& order = std::get<gang::AttemptOrder>(body);
        auto kind = order.kind == gang::OrderKind::Stop ? CommandAnswered::Kind::Stop
            : order.kind == gang::OrderKind::Forget     ? CommandAnswered::Kind::Forget
                                                        : CommandAnswered::Kind::Checkpoint;
        sendCommand(process, worker, order.command.attempt, kind, order, order.command.epoch, sent.notAfter);
    }
}

void Simulation::sendHeartbeat(const Process& process, const OwnerHeartbeat& heartbeat)
{
    for (const auto& other : processes_) {
        bool isLost = !isConnected(process.number, other.number) || (now_ < options_.faultPeriodMs && chance(0.05));
        if (other.number == process.number || isLost)
            continue;
        HeartbeatArrived input { heartbeat.owner, heartbeat.epoch };
        for (int copies = chance(0.02) ? 2 : 1; copies > 0; --copies)
            schedule(latency(), [this, n = other.number, i = other.incarnation, input] { run(n, i, input); });
    }
}

void Simulation::carryOut(Process& process, const Action& action)
{
    auto sentAt = localTime(process);
    if (const auto* poll = std::get_if<Poll>(&action)) {
        auto site = firstWorkerSite + std::stoi(poll->worker.value.substr(1));
        auto worker = poll->worker;
        call(
            process, site, callTimeout,
            [this, site, worker, sentAt]() -> Input {
                auto& target = workers_[static_cast<std::size_t>(site - firstWorkerSite)];
                return ReportArrived { worker, target.report(now_), sentAt };
            },
            PollFailed { worker });
    } else if (const auto* renewal = std::get_if<SendRenewal>(&action)) {
        sendCommand(process, renewal->worker, {}, CommandAnswered::Kind::Renew, renewal->command,
            renewal->command.epoch, renewal->notAfter);
    } else if (const auto* sent = std::get_if<SendCommand>(&action)) {
        sendGangCommand(process, *sent);
    } else if (const auto* storeCall = std::get_if<CallStore>(&action)) {
        callStore(process, storeCall->call);
    } else if (const auto* heartbeat = std::get_if<SendHeartbeat>(&action)) {
        sendHeartbeat(process, heartbeat->heartbeat);
    } else if (const auto* answer = std::get_if<AnswerSubmit>(&action)) {
        onAnswer(*answer);
    } else if (const auto* event = std::get_if<shard_owner::Event>(&action)) {
        trace(process.id.value + " " + std::string(nameOf(event->kind)) + " " + event->subject + " " + event->text);
    }
}

void Simulation::callStore(Process& process, const StoreCall& storeCall)
{
    StoreReply failure { .id = storeCall.id, .outcome = StoreOutcome::Unknown };
    if (storeMode_ == StoreMode::Refuses) {
        failure.outcome = StoreOutcome::NoEffect;
        schedule(
            1, [this, n = process.number, i = process.incarnation, failure] { run(n, i, StoreAnswered { failure }); });
        return;
    }
    if (storeMode_ == StoreMode::Silent) {
        schedule(storeTimeout,
            [this, n = process.number, i = process.incarnation, failure] { run(n, i, StoreAnswered { failure }); });
        return;
    }
    if (!options_.readsBackLostAnswers && !storeCall.isRead())
        failure.outcome = StoreOutcome::NoEffect;
    call(
        process, storeSite, storeTimeout,
        [this, storeCall]() -> Input { return StoreAnswered { applyToStore(storeCall) }; }, StoreAnswered { failure });
}

StoreReply Simulation::applyToStore(const StoreCall& storeCall)
{
    auto effective = storeCall;
    bool isJournal = !storeCall.puts.empty() && storeCall.puts.front().first.starts_with("/agatevane/journal/");
    if (isJournal && !options_.guardsJournalWrites)
        std::erase_if(effective.compares,
            [](const StoreCompare& compare) { return compare.key.starts_with("/agatevane/owners/"); });
    auto reply = store_.apply(effective);
    if (isJournal && reply.outcome == StoreOutcome::Done)
        checkJournalWrite(storeCall);
    return reply;
}

} // namespace agatevane::simulation
