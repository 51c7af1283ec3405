#include "agatevane/base/termination_signal.h"
#include "standins/vmlist/vm_list.h"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace agatevane;

int main(int argc, char** argv)
{
    blockTerminationSignals();

    standin::VmListSettings settings;
    std::string vms = "[]";
    CLI::App app { "Stand-in for the platform's delayed list of VMs, for tests and the demo" };
    app.add_option("--address", settings.address, "IP address to listen on");
    app.add_option("--port", settings.port, "port that serves the list; 0: any free port");
    app.add_option("--control-port", settings.controlPort, "port of the control path; 0: any free port");
    app.add_option("--lag-ms", settings.lagMs, "age of the served list in milliseconds");
    app.add_option("--vms", vms, "initial list, as a JSON array of {name, dataCentre, address, state}");
    CLI11_PARSE(app, argc, argv);

    standin::VmListServer server(settings);
    auto parsed = nlohmann::json::parse(vms, nullptr, false);
    if (!parsed.is_array()) {
        std::cerr << "--vms: must be a JSON array\n";
        return 2;
    }
    server.set(std::move(parsed), now() - Millis(settings.lagMs));
    if (auto error = server.start()) {
        std::cerr << "cannot listen on " << settings.address << ": " << error.message() << "\n";
        return 1;
    }
    std::cout << nlohmann::json { { "port", server.port() }, { "control", server.controlPort() } }.dump() << std::endl;
    waitForTerminationSignal();
    server.stop();
    return 0;
}
