#include "standins/platform/platform_server.h"

#include <CLI/CLI.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

using namespace agatevane;

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in for the users' platform (store, workers and machines), for tests and the demo." };
    standin::PlatformOptions options;
    app.add_option("--workers", options.workers, "Number of workers")->check(CLI::Range(1, 500))->capture_default_str();
    app.add_option("--rack", options.workersPerRack, "Number of workers in each rack")->check(CLI::Range(1, 500));
    app.add_option("--max-lease-ms", options.times.maxLeaseMs, "Longest lease that workers grant")
        ->check(CLI::Range(1000, 60000))
        ->capture_default_str();
    app.add_option("--service", options.service, "Name of the service that the workers belong to")
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context(1);
    standin::PlatformServer server(context, options);
    if (!server.start()) {
        std::cerr << "cannot listen on " << options.address << "\n";
        return 1;
    }
    std::cout << nlohmann::json {
        { "store", server.storePort() }, { "control", server.controlPort() }, { "machines", server.machinesPort() }
    }.dump() << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](std::error_code, int) { context.stop(); });
    context.run();
    return 0;
}
