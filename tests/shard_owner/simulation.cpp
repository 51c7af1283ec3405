#include "simulation.h"
#include <iostream>

namespace agatevane::simulation {

using namespace shard_owner;

namespace {

    constexpr int processCount = 3;
    constexpr int workerCount = 6;
    constexpr int firstWorkerSite = 100;
    constexpr int storeSite = 200;
    // All times are in simulated milliseconds.
    constexpr double callTimeout = 900;
    constexpr double storeTimeout = 700;

    const DataCentreId dataCentre { "dc" };

} // namespace

Simulation::Simulation(const Options& options)
    : options_(options)
    , random_(options.seed)
{
    for (int i = 0; i < workerCount; ++i) {
        SimulatedWorker worker { .id = { "w" + std::to_string(i) }, .number = i };
        // Each clock runs within 0.5 % of simulated time, so that two clocks differ by 1 % at most.
        worker.clockRate = 1 + static_cast<double>(uniform(random_, -50, 50)) / 10000;
        worker.clockOffsetMs = static_cast<double>(uniform(random_, 0, 1000000));
        worker.failsAllTasks = options.hasFaults && chance(0.04);
        worker.history = &history_;
        workers_.push_back(worker);
    }
    for (int i = 0; i < processCount; ++i) {
        processes_.emplace_back();
        processes_.back().id = { "s" + std::to_string(i) };
        processes_.back().number = i;
        processes_.back().clockRate = 1 + static_cast<double>(uniform(random_, -50, 50)) / 10000;
    }
}

void Simulation::schedule(double delay, Event event)
{
    events_.push({ now_ + delay, nextSequence_++, std::move(event) });
}

bool Simulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

double Simulation::latency()
{
    bool isSlow = options_.hasFaults && now_ < options_.faultPeriodMs && chance(0.02);
    return isSlow ? static_cast<double>(uniform(random_, 10, 4000)) : static_cast<double>(uniform(random_, 1, 9));
}

Instant Simulation::localTime(const Process& process) const
{
    return Instant {} + std::chrono::hours(1)
        + std::chrono::microseconds(static_cast<long>(now_ * process.clockRate * 1000));
}

bool Simulation::isConnected(int siteA, int siteB) const
{
    return isolatedSites_.contains(siteA) == isolatedSites_.contains(siteB);
}

void Simulation::trace(const std::string& text) const
{
    if (options_.isTraceEnabled)
        std::cerr << static_cast<long>(now_) << " " << text << "\n";
}

void Simulation::startProcess(Process& process)
{
    std::vector<ownership::Candidate> candidates;
    for (int i = 0; i < processCount; ++i)
        candidates.push_back({ { "s" + std::to_string(i) }, { i == 0 ? "near" : "far" } });
    process.isAlive = true;
    process.state = shard_owner::makeState(dataCentre, { "near" }, process.id,
        process.id.value + "." + std::to_string(process.incarnation), candidates, localTime(process));
    process.state.journalTiming.batchesBeforeCompaction = 8;
    if (!options_.renewsOnlyFreshLeases)
        process.state.gangTiming.maxReportAge = process.state.gangTiming.reportTimeout = Millis { 60000 };
    FleetChanged fleet;
    for (const auto& worker : workers_) {
        WorkerEntry entry { .id = worker.id, .rack = { "r" + std::to_string(worker.number / 3) } };
        entry.capacity.accelerators = worker.capacity;
        fleet.workers.push_back(entry);
    }
    fleet.policy.workspaces.push_back({ .id = { "ws" } });
    run(process.number, process.incarnation, fleet);
    tick(process.number, process.incarnation);
}

void Simulation::tick(int number, int incarnation)
{
    auto& process = processes_[static_cast<std::size_t>(number)];
    if (!process.isAlive || process.incarnation != incarnation)
        return;
    run(number, incarnation, Tick {});
    schedule(50, [this, number, incarnation] { tick(number, incarnation); });
}

void Simulation::run(int number, int incarnation, const Input& input)
{
    auto& process = processes_[static_cast<std::size_t>(number)];
    if (!process.isAlive || process.incarnation != incarnation)
        return;
    if (process.pausedUntil > now_) {
        schedule(process.pausedUntil - now_, [this, number, incarnation, input] { run(number, incarnation, input); });
        return;
    }
    ++totals_.steps;
    auto takeovers = process.state.counters.takeovers;
    for (const auto& action : step(process.state, input, localTime(process)))
        carryOut(process, action);
    totals_.takeovers += process.state.counters.takeovers - takeovers;
    if (process.state.owner.role == ownership::Role::Owner) {
        // A restarted standby may hold its pre-allocated epoch again, because it starts nothing without the owner
        // record.
        bool isExclusive = process.state.owner.holdsRecord;
        auto tenure = process.id.value + (isExclusive ? "." + std::to_string(process.incarnation) : "");
        auto [position, isNew] = ownerOfEpoch_.emplace(process.state.owner.epoch, tenure);
        if (!isNew && position->second != tenure)
            throw InvariantViolation("two owners hold epoch " + std::to_string(process.state.owner.epoch));
    }
    if (std::holds_alternative<ReportArrived>(input))
        checkOvercommitment(process);
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
        const auto& body = sent->command.body;
        const auto& worker = sent->command.worker;
        bool isStart = !std::holds_alternative<gang::AttemptOrder>(body);
        if (isStart && !process.state.owner.holdsRecord)
            throw InvariantViolation("an owner that doesn't hold the owner record started a gang");
        if (const auto* prepare = std::get_if<PrepareCommand>(&body)) {
            sendCommand(process, worker, prepare->attempt, CommandAnswered::Kind::Prepare, *prepare, prepare->epoch,
                sent->notAfter);
        } else if (const auto* start = std::get_if<StartCommand>(&body)) {
            sendCommand(
                process, worker, start->attempt, CommandAnswered::Kind::Start, *start, start->epoch, sent->notAfter);
        } else {
            const auto& order = std::get<gang::AttemptOrder>(body);
            auto kind = order.kind == gang::OrderKind::Stop ? CommandAnswered::Kind::Stop
                : order.kind == gang::OrderKind::Forget     ? CommandAnswered::Kind::Forget
                                                            : CommandAnswered::Kind::Checkpoint;
            sendCommand(process, worker, order.command.attempt, kind, order, order.command.epoch, sent->notAfter);
        }
    } else if (const auto* storeCall = std::get_if<CallStore>(&action)) {
        callStore(process, storeCall->call);
    } else if (const auto* heartbeat = std::get_if<SendHeartbeat>(&action)) {
        for (const auto& other : processes_) {
            bool isLost = !isConnected(process.number, other.number) || (now_ < options_.faultPeriodMs && chance(0.05));
            if (other.number == process.number || isLost)
                continue;
            HeartbeatArrived input { heartbeat->heartbeat.owner, heartbeat->heartbeat.epoch };
            for (int copies = chance(0.02) ? 2 : 1; copies > 0; --copies)
                schedule(latency(), [this, n = other.number, i = other.incarnation, input] { run(n, i, input); });
        }
    } else if (const auto* answer = std::get_if<AnswerSubmit>(&action)) {
        onAnswer(*answer);
    } else if (const auto* event = std::get_if<shard_owner::Event>(&action)) {
        trace(process.id.value + " " + std::string(nameOf(event->kind)) + " " + event->subject + " " + event->text);
    }
}

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

void Simulation::callStore(Process& process, const StoreCall& storeCall)
{
    StoreReply failure { .id = storeCall.id, .outcome = StoreOutcome::Unknown };
    if (storeMode_ == 1) {
        failure.outcome = StoreOutcome::NoEffect;
        schedule(
            1, [this, n = process.number, i = process.incarnation, failure] { run(n, i, StoreAnswered { failure }); });
        return;
    }
    if (storeMode_ == 2) {
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

void Simulation::onAnswer(const AnswerSubmit& answer)
{
    auto request = requests_.extract(answer.request);
    if (request.empty())
        return;
    const auto& spec = request.mapped();
    switch (answer.reply.result) {
    case SubmitResult::Accepted:
    case SubmitResult::Duplicate:
        acceptedJobs_.insert(spec.id);
        if (!durableJobs_.contains(spec.id))
            throw InvariantViolation("job " + spec.id.value + " was accepted before it was durable");
        break;
    case SubmitResult::Unknown:
        uncertainJobs_.insert(spec.id);
        if (chance(0.5))
            schedule(500, [this, spec] { submitTo(spec, static_cast<int>(uniform(random_, 0, processCount - 1))); });
        break;
    default:
        trace("refused " + spec.id.value + " " + std::string(nameOf(answer.reply.result)));
        refusedJobs_.insert(spec.id);
        break;
    }
}

void Simulation::submitTo(const JobSpec& spec, int number)
{
    auto request = nextRequest_++;
    requests_[request] = spec;
    auto incarnation = processes_[static_cast<std::size_t>(number)].incarnation;
    schedule(latency(), [=, this] { run(number, incarnation, SubmitArrived { request, spec }); });
}

void Simulation::submitJob()
{
    if (now_ > options_.faultPeriodMs)
        return;
    JobSpec spec { .id = { "dc.j" + std::to_string(nextJob_++) }, .workspace = { "ws" }, .dataCentre = dataCentre };
    spec.accelerators = static_cast<int>(chance(0.4) ? uniform(random_, 9, 24) : uniform(random_, 1, 8));
    spec.expectedMs = uniform(random_, 500, 12000);
    spec.canCheckpoint = chance(0.5);
    spec.workClass = chance(0.2) ? WorkClass::Urgent : WorkClass::Standard;
    auto target = static_cast<int>(uniform(random_, 0, processCount - 1));
    for (const auto& process : processes_) {
        if (process.isAlive && isServing(process.state) && chance(0.8))
            target = process.number;
    }
    submitTo(spec, target);
    if (chance(0.15)) {
        auto incarnation = processes_[static_cast<std::size_t>(target)].incarnation;
        schedule(static_cast<double>(uniform(random_, 0, 6000)), [=, this] {
            run(target, incarnation, CancelArrived { nextRequest_++, spec.id });
        });
    }
    schedule(static_cast<double>(uniform(random_, 100, 1500)), [this] { submitJob(); });
}

void Simulation::injectFault()
{
    if (now_ > options_.faultPeriodMs)
        return;
    auto& process = processes_[static_cast<std::size_t>(uniform(random_, 0, processCount - 1))];
    auto duration = static_cast<double>(uniform(random_, 200, 9000));
    switch (uniform(random_, 0, 7)) {
    case 0:
        trace("pause " + process.id.value);
        process.pausedUntil = now_ + duration;
        break;
    case 1:
        trace("kill " + process.id.value);
        process.isAlive = false;
        ++process.incarnation;
        schedule(duration, [this, number = process.number] {
            if (auto& stoppedProcess = processes_[static_cast<std::size_t>(number)]; !stoppedProcess.isAlive)
                startProcess(stoppedProcess);
        });
        break;
    case 2:
    case 3:
        trace("store outage");
        storeMode_ = chance(0.5) ? 1 : 2;
        schedule(duration, [this] { storeMode_ = 0; });
        break;
    case 4:
        workers_[static_cast<std::size_t>(uniform(random_, 0, workerCount - 1))].restart(now_);
        break;
    case 5:
        trace("release " + process.id.value);
        run(process.number, process.incarnation, ReleaseRequested {});
        break;
    default:
        trace("partition");
        isolatedSites_.clear();
        for (int i = 0; i < processCount; ++i) {
            if (chance(0.3))
                isolatedSites_.insert(i);
        }
        for (int i = 0; i < workerCount; ++i) {
            if (chance(0.3))
                isolatedSites_.insert(firstWorkerSite + i);
        }
        schedule(duration, [this] { isolatedSites_.clear(); });
        break;
    }
    schedule(static_cast<double>(uniform(random_, 500, 8000)), [this] { injectFault(); });
}

Totals Simulation::run()
{
    for (auto& process : processes_)
        startProcess(process);
    schedule(1500, [this] { submitJob(); });
    if (options_.hasFaults)
        schedule(3000, [this] { injectFault(); });
    schedule(options_.faultPeriodMs, [this] {
        trace("heal");
        storeMode_ = 0;
        isolatedSites_.clear();
        for (auto& worker : workers_)
            worker.failsAllTasks = false;
    });
    while (!events_.empty() && now_ < options_.faultPeriodMs + options_.recoveryPeriodMs) {
        auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.event();
        bool isSettled = now_ > options_.faultPeriodMs + 20000 && totals_.steps % 256 == 0
            && std::all_of(durableJobs_.begin(), durableJobs_.end(),
                [&](const JobId& job) { return outcomeBatches_.contains(job); });
        if (isSettled)
            break;
    }
    checkAttemptHistory();
    checkFinalState();
    totals_.accepted = acceptedJobs_.size();
    totals_.refused = refusedJobs_.size();
    totals_.attempts = history_.size();
    return totals_;
}

} // namespace agatevane::simulation
