#include "agatevane/base/termination_signal.h"
#include "standins/relay/relay.h"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace agatevane;

int main(int argc, char** argv)
{
    blockTerminationSignals();

    std::string address = "127.0.0.1";
    int controlPort = 0;
    std::vector<std::string> links;
    CLI::App app { "TCP and UDP forwarders, for tests that cut, delay and stall links" };
    app.add_option("--address", address, "IP address to listen on");
    app.add_option("--control-port", controlPort, "port of the control path; 0: any free port");
    app.add_option("--link", links, "name=tcp|udp:[listen port:]target ip:port; may be repeated");
    CLI11_PARSE(app, argc, argv);

    standin::Relay relay(address, controlPort);
    for (const auto& text : links) {
        standin::LinkSettings settings;
        if (!standin::parseLink(text, settings)) {
            std::cerr << "--link " << text << ": must be name=tcp|udp:[listen port:]target ip:port\n";
            return 2;
        }
        if (relay.add(settings) == 0) {
            std::cerr << "--link " << text << ": cannot listen\n";
            return 1;
        }
    }
    if (auto error = relay.start()) {
        std::cerr << "cannot listen on " << address << ": " << error.message() << "\n";
        return 1;
    }
    std::cout << relay.describe().dump() << std::endl;
    waitForTerminationSignal();
    relay.stop();
    return 0;
}
