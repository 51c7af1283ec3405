#include "standins/worker/worker_fleet.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

using namespace agatevane;

int main(int argc, char** argv)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);

    standin::FleetSettings settings;
    auto& worker = settings.worker;
    CLI::App app { "Stand-in for the platform's workers of one data centre, for tests and the demo" };
    app.add_option("--data-centre", worker.dataCentre.value, "data centre of all workers")->required();
    app.add_option("--count", settings.count, "number of workers")->check(CLI::Range(1, 2000));
    app.add_option("--name-prefix", settings.namePrefix, "names are this and a number; default <data centre>-w");
    app.add_option("--rack-size", settings.rackSize, "workers in a rack")->check(CLI::Range(1, 10000));
    app.add_option("--address", worker.address, "IP number to listen on");
    app.add_option("--first-port", settings.firstPort, "port of the first worker, others follow; 0: any");
    app.add_option("--control-port", settings.controlPort, "port of the control path; 0: any");
    app.add_option("--threads", worker.threads, "requests served at the same time by each worker");
    app.add_option("--accelerators", worker.capacity.accelerators, "of each worker");
    app.add_option("--cores", worker.capacity.cores, "of each worker");
    app.add_option("--memory-mib", worker.capacity.memoryMiB, "of each worker");
    app.add_option("--slots", worker.slots, "calls that run at the same time on each worker");
    app.add_option("--connections", worker.connections, "of each worker");
    app.add_option("--usage-lag-ms", worker.usageLagMs, "age of the reported usage");
    app.add_option("--call-ms", worker.callMs, "duration of a call whose body sets none");
    app.add_option("--checkpoint-ms", worker.checkpointMs, "duration of a checkpoint");
    app.add_option("--lost-answer-ms", worker.lostAnswerMs, "how long a dropped answer is withheld");
    app.add_option("--seed", settings.seed, "of the workers' clock offsets");
    CLI11_PARSE(app, argc, argv);

    standin::WorkerFleet fleet(settings);
    if (auto error = fleet.start()) {
        std::cerr << "cannot listen on " << worker.address << ": " << error.message() << "\n";
        return 1;
    }
    std::cout << fleet.describe().dump() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    fleet.stop();
    return 0;
}
