#include "agatevane/base/termination_signal.h"
#include "standins/worker/worker_fleet.h"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace agatevane;

int main(int argc, char** argv)
{
    blockTerminationSignals();

    standin::FleetSettings settings;
    auto& worker = settings.worker;
    CLI::App app { "Stand-in for the platform's workers in one data centre, for tests and the demo" };
    app.add_option("--data-centre", worker.dataCentre.value, "data centre of all workers")->required();
    app.add_option("--count", settings.count, "number of workers")->check(CLI::Range(1, 2000));
    app.add_option(
        "--name-prefix", settings.namePrefix, "a worker's name is this prefix and a number; default <data centre>-w");
    app.add_option("--rack-size", settings.rackSize, "number of workers in each rack")->check(CLI::Range(1, 10000));
    app.add_option("--address", worker.address, "IP address to listen on");
    app.add_option("--first-port", settings.firstPort,
        "port of the first worker; the others take the ports after it; 0: any free ports");
    app.add_option("--control-port", settings.controlPort, "port of the control path; 0: any free port");
    app.add_option("--threads", worker.threads, "requests served at the same time by each worker");
    app.add_option("--accelerators", worker.capacity.accelerators, "number of accelerators of each worker");
    app.add_option("--cores", worker.capacity.cores, "number of cores of each worker");
    app.add_option("--memory-mib", worker.capacity.memoryMiB, "memory of each worker in MiB");
    app.add_option("--slots", worker.slots, "calls that run at the same time on each worker");
    app.add_option("--connections", worker.connections, "maximum number of connections of each worker");
    app.add_option("--usage-lag-ms", worker.usageLagMs, "age of the reported usage");
    app.add_option("--call-ms", worker.callMs, "duration of a call whose body sets none");
    app.add_option("--checkpoint-ms", worker.checkpointMs, "duration of a checkpoint");
    app.add_option(
        "--lost-answer-ms", worker.lostAnswerMs, "time after which a request whose answer is dropped gets an error");
    app.add_option("--seed", settings.seed, "seed of the workers' clock offsets");
    CLI11_PARSE(app, argc, argv);

    standin::WorkerFleet fleet(settings);
    if (auto error = fleet.start()) {
        std::cerr << "cannot listen on " << worker.address << ": " << error.message() << "\n";
        return 1;
    }
    std::cout << fleet.describe().dump() << std::endl;
    waitForTerminationSignal();
    fleet.stop();
    return 0;
}
